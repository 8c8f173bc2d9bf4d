#include "turmeric/entry/version_registry.h"

#include <QPointer>
#include <algorithm>
#include <iterator>
#include <set>
#include <span>
#include <string_view>
#include <utility>

#include "turmeric/entry/entry_context.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using routing::UpstreamPtr;
using std::chrono::milliseconds;
using store::ObjectSource;
using streams::StreamOrigin;

namespace {

/** Time after which a version without listed upstreams is dropped; longer than
 * any stream. */
constexpr std::chrono::minutes kRetention{5};
/** Time after the drop at which the object is retired: by then all instances
 * have dropped the version. */
constexpr std::chrono::minutes kRetireAfter{5};
constexpr milliseconds kUpdateInterval{1000};
/** Range of the delay after which an instance that does not own the key
 * registers a new version that its owner has not registered. */
constexpr milliseconds kMinOtherDelay{250};
constexpr milliseconds kMaxOtherDelay{1250};
/** Delay before a failed write is repeated, by the owner of the key and by the
 * other instances, of which there may be hundreds. */
constexpr milliseconds kOwnerRetryDelay{300};
constexpr milliseconds kOtherRetryDelay{2000};
/** Longest wait for a read, which usually takes milliseconds. */
constexpr milliseconds kMaxReadWait{200};
/** Time after a failed read in which none is tried: callers do not wait again
 * for a store that does not answer. */
constexpr milliseconds kReadRetryDelay{1000};

constexpr auto kServiceField = "service";
constexpr auto kVersionField = "version";
constexpr auto kRetiredField = "retired";

/** @return name of the object of a version; versions may contain characters
 * that names may not. */
std::string ObjectName(const StreamOrigin& version) {
  return QString::number(
             routing::RendezvousWeight(version.service, version.version), 16)
      .toStdString();
}

/** @return the services of routes with resumable streams. */
std::set<std::string> StreamServices(const routing::RouteTable& table) {
  std::set<std::string> services;
  for (const routing::Route& route : table.routes) {
    if (!route.resumes_streams()) continue;
    for (const auto& target : route.targets) services.insert(target.service);
  }
  return services;
}

/** @return the different versions of the upstreams. */
std::vector<std::string_view> VersionsIn(
    std::span<const UpstreamPtr> upstreams) {
  std::vector<std::string_view> versions;
  for (const UpstreamPtr& u : upstreams) {
    if (std::ranges::count(versions, u->entry.version) == 0) {
      versions.push_back(u->entry.version);
    }
  }
  return versions;
}

}  // namespace

VersionRegistry::VersionRegistry(EntryContext& context, Links links)
    : context_(context), links_(std::move(links)), versions_(kRetention) {
  write_timer_.setSingleShot(true);
  connect(&write_timer_, &QTimer::timeout, this, [this] { WriteDue(); });
  read_timeout_.setSingleShot(true);
  connect(&read_timeout_, &QTimer::timeout, this, [this] { OnRead(false); });
  update_timer_.setInterval(kUpdateInterval);
  connect(&update_timer_, &QTimer::timeout, this, [this] {
    Update();
    Expire();
  });
}

void VersionRegistry::Start(ObjectSource& source, std::string kind) {
  source_ = &source;
  kind_ = std::move(kind);
  update_timer_.start();
  const QPointer<VersionRegistry> self(this);
  source_->List(kind_, ObjectSource::Freshness::kMayBeStale,
                [self](const auto& batch) {
                  if (self && batch) self->Apply(batch.value().objects);
                });
}

void VersionRegistry::Update() {
  if (!context_.table || !context_.upstreams_known || !source_) return;
  const auto now = Clock::now();
  for (const std::string& service : StreamServices(*context_.table)) {
    for (const auto name : VersionsIn(context_.upstreams.ForService(service))) {
      const StreamOrigin version{service, std::string(name)};
      dropped_.erase(version);
      versions_.Contains(version) ? versions_.OnListed(version, now)
                                  : ScheduleWrite(version);
    }
    MarkUnregistered(service);
  }
}

VersionRegistry::Versions VersionRegistry::VersionsOf(
    const std::string& service) const {
  Versions versions = versions_.Of(service);
  for (const auto& [version, due] : unwritten_) {
    if (version.service == service && !versions_.Contains(version)) {
      versions.push_back(version.version);
    }
  }
  return versions;
}

void VersionRegistry::MarkUnregistered(const std::string& service) {
  const auto now = Clock::now();
  const auto upstreams = context_.upstreams.ForService(service);
  const Versions registered = versions_.Of(service);
  const auto is_registered = [&registered](const UpstreamPtr& u) {
    return std::ranges::count(registered, u->entry.version) > 0;
  };
  const bool others_serve =
      std::ranges::any_of(upstreams, [&](const UpstreamPtr& u) {
        return is_registered(u) && AcceptsWork(*u, now);
      });
  std::ranges::for_each(upstreams, [&](const UpstreamPtr& u) {
    u->unregistered = others_serve && !is_registered(u);
  });
}

void VersionRegistry::Add(const StreamOrigin& version) {
  unwritten_.erase(version);
  if (!versions_.Add(version, Clock::now())) return;
  utils::DecisionLog("version_registered")
      .Add("service", version.service)
      .Add("version", version.version)
      .Add("versions", versions_.Of(version.service).size());
  MarkUnregistered(version.service);
  if (on_change_) on_change_(version.service);
}

void VersionRegistry::ScheduleWrite(const StreamOrigin& version) {
  if (unwritten_.contains(version)) return;
  // Before the fleet is known, every instance would own every key.
  const bool writes_first = context_.retries.listed_instances() > 0 &&
                            links_.owns(ObjectName(version));
  std::uniform_int_distribution<int64_t> delay(kMinOtherDelay.count(),
                                               kMaxOtherDelay.count());
  const milliseconds after =
      writes_first ? milliseconds(0) : milliseconds(delay(random_));
  unwritten_.emplace(version, Clock::now() + after);
  WriteDue();
}

void VersionRegistry::WriteDue() {
  const auto now = Clock::now();
  std::vector<StreamOrigin> due;
  auto next = Clock::time_point::max();
  for (auto& [version, at] : unwritten_) {
    if (at <= now) {
      due.push_back(version);
      at = now + (links_.owns(ObjectName(version)) ? kOwnerRetryDelay
                                                   : kOtherRetryDelay);
    }
    next = std::min(next, at);
  }
  std::ranges::for_each(due, [this](const auto& v) { Write(v, false); });
  if (next == Clock::time_point::max()) return;
  write_timer_.start(
      std::max(milliseconds(1), std::chrono::ceil<milliseconds>(next - now)));
}

void VersionRegistry::Write(const StreamOrigin& version, bool retired) {
  const QJsonObject spec{
      {kServiceField, QString::fromStdString(version.service)},
      {kVersionField, QString::fromStdString(version.version)},
      {kRetiredField, retired}};
  const QPointer<VersionRegistry> self(this);
  source_->Put(kind_, ObjectName(version), spec,
               [self, version, retired](const auto& written) {
                 if (!self) return;
                 if (!written) {
                   utils::DecisionLog("version_not_written")
                       .Add("service", version.service)
                       .Add("version", version.version)
                       .Add("why", written.error().detail);
                   return;
                 }
                 if (retired) return;
                 self->Add(version);
                 self->links_.broadcast([&version](peer::Frame& frame) {
                   frame.versions.push_back(version);
                 });
               });
}

void VersionRegistry::Expire() {
  const auto now = Clock::now();
  for (const StreamOrigin& version : versions_.DropUnlisted(now)) {
    dropped_.try_emplace(version, now + kRetireAfter);
  }
  std::vector<StreamOrigin> retired;
  std::erase_if(dropped_, [&](const auto& entry) {
    const auto& [version, retire_at] = entry;
    const bool due = retire_at <= now;
    if (due && links_.owns(ObjectName(version))) retired.push_back(version);
    return due;
  });
  std::ranges::for_each(retired, [this](const auto& v) { Write(v, true); });
}

void VersionRegistry::Read(ReadCallback done) {
  if (read_failed_at_ && Clock::now() < *read_failed_at_ + kReadRetryDelay) {
    return done(false);
  }
  next_.push_back(std::move(done));
  if (!read_open_) SendRead();
}

void VersionRegistry::SendRead() {
  waiting_ = std::exchange(next_, {});
  read_open_ = true;
  read_timeout_.start(kMaxReadWait);
  const QPointer<VersionRegistry> self(this);
  source_->List(kind_, ObjectSource::Freshness::kLinearizable,
                [self, number = ++read_number_](const auto& batch) {
                  // The read may have timed out.
                  if (!self || self->read_number_ != number) return;
                  if (batch) self->Apply(batch.value().objects);
                  self->OnRead(batch.has_value());
                });
}

void VersionRegistry::OnRead(bool read) {
  if (!read_open_) return;
  ++read_number_;
  read_timeout_.stop();
  read_open_ = false;
  read_failed_at_.reset();
  if (!read) read_failed_at_ = Clock::now();
  const auto callbacks = std::exchange(waiting_, {});
  // A call that arrived while this read was open needs a later one.
  if (!next_.empty()) SendRead();
  for (const ReadCallback& done : callbacks) done(read);
}

void VersionRegistry::Apply(std::span<const store::SourceObject> objects) {
  for (const store::SourceObject& object : objects) {
    const StreamOrigin version{
        object.spec[kServiceField].toString().toStdString(),
        object.spec[kVersionField].toString().toStdString()};
    if (version.service.empty() || object.name != ObjectName(version)) {
      if (!store::NoteUnreadable(unreadable_, object.name, object.revision)) {
        continue;
      }
      utils::DecisionLog("version_entry_unreadable")
          .Add("name", object.name)
          .Add("revision", object.revision);
    } else if (object.spec[kRetiredField].toBool()) {
      // Update registers it again if it is listed.
      versions_.Remove(version);
    } else {
      Add(version);
    }
  }
}

void VersionRegistry::OnNewEra() {
  std::ranges::for_each(versions_.All(),
                        [this](const auto& v) { ScheduleWrite(v); });
}

void VersionRegistry::OnFrame(const peer::Frame& frame) {
  std::ranges::for_each(frame.versions, [this](const auto& v) { Add(v); });
}

void VersionRegistry::AddKnown(peer::Frame& frame) const {
  std::ranges::copy(versions_.All(), std::back_inserter(frame.versions));
}

}  // namespace turmeric::entry
