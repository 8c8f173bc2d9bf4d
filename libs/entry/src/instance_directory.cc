#include "turmeric/entry/instance_directory.h"

#include <optional>
#include <random>
#include <utility>

#include "turmeric/store/object_name.h"
#include "turmeric/utils/control_characters.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using std::chrono::milliseconds;

namespace {

/**
 * Delay before the next read and attempt to register after a failed attempt.
 */
constexpr milliseconds kRegisterRetryDelay{1000};
/**
 * Upper bound of the random delay before an instance that is missing from the
 * list registers again: all instances of a fleet are missing after the store
 * was restored from an older copy, and would otherwise write at the same time.
 */
constexpr milliseconds kMaxRegisterDelay{2000};
/**
 * Interval and number of reads while a fleet is starting; its instances
 * register within a second of each other.
 */
constexpr milliseconds kEarlyReadInterval{1500};
constexpr int kEarlyReadCount = 4;
/** Interval of later reads; a stale read costs a tenth of a call. */
constexpr milliseconds kLateReadInterval{10000};

constexpr auto kAddressField = "peer_address";
constexpr auto kTunnelAddressField = "tunnel_address";
constexpr auto kZoneField = "zone";
constexpr auto kCpuShareField = "cpu_share";
constexpr auto kLendsConnectionsField = "lends_connections";

/** @return the instance; nullopt if the entry was written by another program
 * or holds a value that no instance writes. */
std::optional<InstanceInfo> DecodeInstance(const store::SourceObject& object) {
  constexpr size_t kMaxTextBytes = 1024;
  constexpr double kMaxCpuShare = 1024;
  const auto text = [&object](const char* field) {
    return object.spec[field].toString().toStdString();
  };
  InstanceInfo info{
      .address = text(kAddressField),
      .tunnel_address = text(kTunnelAddressField),
      .zone = text(kZoneField),
      .cpu_share = object.spec[kCpuShareField].toDouble(),
      .lends_connections = object.spec[kLendsConnectionsField].toBool()};
  const bool valid = store::IsUsableName(object.name) &&
                     info.address.find(':') != std::string::npos &&
                     info.address.size() <= kMaxTextBytes &&
                     !utils::HasControlCharacter(
                         info.address + info.tunnel_address + info.zone) &&
                     info.tunnel_address.size() <= kMaxTextBytes &&
                     info.zone.size() <= kMaxTextBytes && info.cpu_share >= 0 &&
                     info.cpu_share <= kMaxCpuShare;
  return valid ? std::optional(std::move(info)) : std::nullopt;
}

}  // namespace

InstanceDirectory::InstanceDirectory(store::ObjectSource& source,
                                     std::string kind, std::string name,
                                     InstanceInfo info,
                                     ChangeCallback on_change)
    : source_(source),
      kind_(std::move(kind)),
      name_(std::move(name)),
      info_(std::move(info)),
      on_change_(std::move(on_change)) {
  read_timer_.setSingleShot(true);
  register_timer_.setSingleShot(true);
  connect(&register_timer_, &QTimer::timeout, this, [this] { Register(); });
  connect(&read_timer_, &QTimer::timeout, this, [this] { Read(); });
}

void InstanceDirectory::Start() { Read(); }

void InstanceDirectory::RegisterLater() {
  if (register_timer_.isActive()) return;
  utils::DecisionLog("instance_not_listed");
  static std::minstd_rand engine{std::random_device{}()};
  std::uniform_int_distribution<int64_t> delay(0, kMaxRegisterDelay.count());
  register_timer_.start(milliseconds(delay(engine)));
}

void InstanceDirectory::Register() {
  const QJsonObject spec{
      {kAddressField, QString::fromStdString(info_.address)},
      {kTunnelAddressField, QString::fromStdString(info_.tunnel_address)},
      {kZoneField, QString::fromStdString(info_.zone)},
      {kCpuShareField, info_.cpu_share},
      {kLendsConnectionsField, info_.lends_connections}};
  source_.Put(kind_, name_, spec, [this](const auto& written) {
    if (written) {
      registered_ = true;
      return;
    }
    utils::DecisionLog("instance_not_entered")
        .Add("why", written.error().detail);
    read_timer_.start(kRegisterRetryDelay);
  });
}

void InstanceDirectory::Read() {
  source_.List(kind_, store::ObjectSource::Freshness::kMayBeStale,
               [this](const auto& batch) {
                 read_timer_.start(++reads_ <= kEarlyReadCount
                                       ? kEarlyReadInterval
                                       : kLateReadInterval);
                 if (batch) return OnRead(batch.value().objects);
                 utils::DecisionLog("instances_not_read")
                     .Add("why", batch.error().detail);
                 if (!registered_) Register();
               });
}

void InstanceDirectory::OnRead(std::span<const store::SourceObject> objects) {
  Instances instances;
  for (const store::SourceObject& object : objects) {
    if (auto info = DecodeInstance(object)) {
      instances[object.name] = std::move(*info);
    } else if (store::NoteUnreadable(unreadable_, object.name,
                                     object.revision)) {
      utils::DecisionLog("instance_entry_unreadable")
          .Add("instance", object.name)
          .Add("revision", object.revision);
    }
  }
  // A restarted instance is usually listed with the same entry. Writing it
  // again would cost two calls for each instance when a fleet restarts.
  const auto own = instances.find(name_);
  const bool is_listed =
      own != instances.end() && own->second.address == info_.address;
  const bool is_current = is_listed && own->second == info_;
  if (!is_current && registered_) RegisterLater();
  if (is_current) registered_ = true;
  if (!registered_ && !register_timer_.isActive()) Register();
  instances[name_] = info_;
  on_change_(instances, is_listed);
}

}  // namespace turmeric::entry
