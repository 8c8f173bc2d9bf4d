#include "turmeric/gateway/membership_service.h"

#include <easylogging++.h>

#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkDatagram>
#include <algorithm>
#include <chrono>
#include <iterator>
#include <random>

#include "turmeric/gateway/store_service.h"
#include "turmeric/kernel/kernel.h"
#include "turmeric/utils/trace.h"

namespace turmeric::gateway {

using membership::Datagram;
using membership::Member;
using membership::Membership;
using store::StoredObject;

namespace {

constexpr std::string_view kRosterPrefix = "instances/";
constexpr std::chrono::milliseconds kTickInterval{100};
/** Interval between attempts to write the roster entry and read the roster,
 * until both have succeeded. */
constexpr std::chrono::milliseconds kRosterRetryInterval{2000};
/**
 * Least interval between reads of the roster once this instance has written its
 * entry. The interval grows with the roster (kRosterIntervalPerEntry): listing
 * 1,100 entries every minute would by itself take half of the control traffic
 * of a node.
 */
constexpr std::chrono::milliseconds kRosterInterval{60000};
constexpr std::chrono::milliseconds kRosterIntervalPerEntry{500};

std::string EncodeEntry(const Member& m) {
  const QJsonObject o{{"zone", QString::fromStdString(m.zone)},
                      {"ip", QHostAddress(m.address.ip).toString()},
                      {"port", m.address.port}};
  return QJsonDocument(o).toJson(QJsonDocument::Compact).toStdString();
}

Member DecodeEntry(const StoredObject& object) {
  const auto o =
      QJsonDocument::fromJson(QByteArray::fromStdString(object.value)).object();
  Member m;
  m.name = object.key.substr(kRosterPrefix.size());
  m.zone = o.value("zone").toString().toStdString();
  m.address = {QHostAddress(o.value("ip").toString()).toIPv4Address(),
               static_cast<uint16_t>(o.value("port").toInt())};
  return m;
}

std::string EntryKey(const std::string& name) {
  return std::string(kRosterPrefix) + name;
}

}  // namespace

MembershipService::MembershipService(config::InstanceSettings settings)
    : settings_(std::move(settings)) {}

MembershipService::~MembershipService() = default;

int MembershipService::live_count() const {
  return membership_ ? membership_->live_count() : 1;
}

utils::Result<void> MembershipService::Start(kernel::Kernel& kernel) {
  store_ = kernel.Find<StoreService>("store");
  if (store_ == nullptr) {
    return utils::Fail(utils::Errc::kConfigInvalid, "no store service");
  }
  if (settings_.membership_port == 0) return boost::outcome_v2::success();
  const QHostAddress address(QString::fromStdString(settings_.listen_address));
  if (!socket_.bind(address, settings_.membership_port)) {
    return utils::Fail(utils::Errc::kIniInvalid,
                       "instance/membership_port: cannot bind " +
                           std::to_string(settings_.membership_port));
  }
  Member self;
  self.name = settings_.name;
  self.zone = settings_.zone;
  self.address = {address.toIPv4Address(), settings_.membership_port};
  self.incarnation = static_cast<uint64_t>(utils::NowUnixMicros());
  membership_ = std::make_unique<Membership>(
      self, membership::MembershipOptions{}, std::random_device{}());
  QObject::connect(&socket_, &QUdpSocket::readyRead, [this] { Receive(); });
  QObject::connect(&tick_timer_, &QTimer::timeout, [this] {
    Send(membership_->Tick(Membership::Clock::now()));
  });
  tick_timer_.start(kTickInterval);
  QObject::connect(&roster_timer_, &QTimer::timeout, [this] {
    if (!registered_) Register();
    ReadRoster();
  });
  roster_timer_.start(kRosterRetryInterval);
  Register();
  ReadRoster();
  return boost::outcome_v2::success();
}

void MembershipService::Register() {
  store_->executor().Run(
      &roster_timer_,
      [this, entry = EncodeEntry(membership_->self())] {
        return store_->store()
            .Put(EntryKey(settings_.name), entry, store::kAnyVersion)
            .has_value();
      },
      [this](bool written) { registered_ = registered_ || written; });
}

void MembershipService::ReadRoster() {
  store_->executor().Run(
      &roster_timer_, [this] { return store_->store().List(kRosterPrefix); },
      [this](const utils::Result<store::ObjectList>& list) {
        // During a store outage the last roster stays in force.
        if (!list || !membership_) return;
        std::vector<Member> roster;
        std::ranges::transform(list.value().objects, std::back_inserter(roster),
                               DecodeEntry);
        membership_->SetRoster(std::move(roster), Membership::Clock::now());
        if (registered_) {
          const auto entries = static_cast<int>(list.value().objects.size());
          roster_timer_.start(
              std::max(kRosterInterval, kRosterIntervalPerEntry * entries));
        }
      });
}

void MembershipService::Send(const std::vector<Datagram>& datagrams) {
  for (const Datagram& d : datagrams) {
    bytes_sent_ += static_cast<int64_t>(d.bytes.size());
    socket_.writeDatagram(reinterpret_cast<const char*>(d.bytes.data()),
                          static_cast<qint64>(d.bytes.size()),
                          QHostAddress(d.to.ip), d.to.port);
  }
}

void MembershipService::Receive() {
  while (socket_.hasPendingDatagrams()) {
    const QByteArray bytes = socket_.receiveDatagram().data();
    const int before = membership_->live_count();
    Send(membership_->OnDatagram(
        std::span(reinterpret_cast<const uint8_t*>(bytes.constData()),
                  static_cast<size_t>(bytes.size())),
        Membership::Clock::now()));
    if (membership_->live_count() != before) {
      LOG(INFO) << "event=members_changed live=" << membership_->live_count();
    }
  }
}

void MembershipService::Leave() {
  if (!membership_ || leaving_) return;
  leaving_ = true;
  roster_timer_.stop();
  Send(membership_->Leave());
  store_->executor().Run(
      &roster_timer_,
      [this] {
        return store_->store()
            .Delete(EntryKey(settings_.name), store::kAnyVersion)
            .has_value();
      },
      [](bool) {});
}

void MembershipService::Stop() {
  tick_timer_.stop();
  roster_timer_.stop();
  socket_.close();
  if (store_ != nullptr) store_->executor().WaitIdle();
}

}  // namespace turmeric::gateway
