#include "turmeric/entry/instance_directory.h"

#include <random>
#include <utility>

#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using std::chrono::milliseconds;

namespace {

/** Pause before entering again after the store did not answer. */
constexpr milliseconds kEnterAgain{1000};
/** An instance that no longer stands in the list enters itself again within
 * this, at a time of its own: with a store that came back from an older copy,
 * all of a fleet do. */
constexpr milliseconds kEnterAgainWithin{2000};
/** Reads while a fleet is starting, in this distance; its instances enter
 * within a second of each other. */
constexpr milliseconds kEarlyRead{1500};
constexpr int kEarlyReads = 4;
/** Later reads; a stale one costs a tenth of a call. */
constexpr milliseconds kLateRead{10000};

constexpr auto kAddressField = "peer_address";
constexpr auto kZoneField = "zone";
constexpr auto kCpuShareField = "cpu_share";

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
  next_.setSingleShot(true);
  enter_.setSingleShot(true);
  connect(&enter_, &QTimer::timeout, this, [this] { Enter(); });
  connect(&next_, &QTimer::timeout, this, [this] { Read(); });
}

void InstanceDirectory::Start() { Read(); }

void InstanceDirectory::EnterLater() {
  if (enter_.isActive()) return;
  utils::DecisionLog("instance_not_listed");
  static std::minstd_rand engine{std::random_device{}()};
  std::uniform_int_distribution<int64_t> pause(0, kEnterAgainWithin.count());
  enter_.start(milliseconds(pause(engine)));
}

void InstanceDirectory::Enter() {
  const QJsonObject spec{{kAddressField, QString::fromStdString(info_.address)},
                         {kZoneField, QString::fromStdString(info_.zone)},
                         {kCpuShareField, info_.cpu_share}};
  source_.Put(kind_, name_, spec, [this](const auto& written) {
    if (written) {
      entered_ = true;
      return;
    }
    utils::DecisionLog("instance_not_entered")
        .Add("why", written.error().detail);
    next_.start(kEnterAgain);
  });
}

void InstanceDirectory::Read() {
  source_.List(kind_, store::ObjectSource::Freshness::kMayBeStale,
               [this](const auto& batch) {
                 next_.start(++reads_ <= kEarlyReads ? kEarlyRead : kLateRead);
                 if (batch) return OnRead(batch.value().objects);
                 utils::DecisionLog("instances_not_read")
                     .Add("why", batch.error().detail);
                 if (!entered_) Enter();
               });
}

void InstanceDirectory::OnRead(std::span<const store::SourceObject> objects) {
  Instances instances;
  for (const store::SourceObject& object : objects) {
    const std::string address =
        object.spec[kAddressField].toString().toStdString();
    if (object.name.empty() || address.find(':') == std::string::npos) {
      utils::DecisionLog("instance_entry_unreadable")
          .Add("instance", object.name)
          .Add("revision", object.revision);
      continue;
    }
    instances[object.name] = {
        .address = address,
        .zone = object.spec[kZoneField].toString().toStdString(),
        .cpu_share = object.spec[kCpuShareField].toDouble()};
  }
  // An instance that has restarted stands in the list as it is; writing the
  // same again would cost two calls for each restart of a fleet.
  const auto own = instances.find(name_);
  const bool stands = own != instances.end() && own->second == info_;
  if (!stands && entered_) EnterLater();
  if (stands) entered_ = true;
  if (!entered_ && !enter_.isActive()) Enter();
  instances[name_] = info_;
  on_change_(instances, stands);
}

}  // namespace turmeric::entry
