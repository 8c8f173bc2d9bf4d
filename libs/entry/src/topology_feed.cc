#include "turmeric/entry/topology_feed.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/platform_link.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using routing::Clock;
using std::chrono::milliseconds;
using store::SourceObject;

namespace {

/** Silence of the store after which entries may have lapsed without their
 * process having gone: a process renews its entry every second or so, and
 * three misses remove it. */
constexpr milliseconds kShortOutage{1000};
/** How often lapsed entries are looked for. */
constexpr milliseconds kExpireInterval{100};

}  // namespace

TopologyFeed::TopologyFeed(EntryContext& context, PlatformLink& link)
    : context_(context), link_(link) {
  config_ = std::make_unique<store::Reflector>(
      *link.source, link.config_kind,
      store::ReflectorEvents{
          .on_list =
              [this](std::span<const SourceObject> objects, milliseconds) {
                std::ranges::for_each(
                    objects, [this](const SourceObject& o) { OnConfig(o); });
              },
          .on_change = [this](const SourceObject& object,
                              milliseconds) { OnConfig(object); },
          .on_reachable =
              [this](bool reachable, const std::string& why) {
                OnReachable("config", reachable, why);
              }});
  upstreams_ = std::make_unique<store::Reflector>(
      *link.source, link.upstreams_kind,
      store::ReflectorEvents{
          .on_list =
              [this](std::span<const SourceObject> objects,
                     milliseconds outage) { OnUpstreamList(objects, outage); },
          .on_change =
              [this](const SourceObject& object, milliseconds outage) {
                OnUpstreamChange(object, outage);
              },
          .on_reachable =
              [this](bool reachable, const std::string& why) {
                OnReachable("upstreams", reachable, why);
              }});
  const auto wait = [this] {
    const bool is_long = context_.Uses(config::Mechanism::kLongWatches);
    return context_.news.WatchWait(
        is_long ? context_.retries.live_instances() : 1, Clock::now());
  };
  // That upstreams have left must be known sooner than a new configuration.
  config_->Follow(*upstreams_);
  config_->set_watch_wait(wait);
  upstreams_->set_watch_wait(wait);
  context_.news.Connect(
      [this] {
        return StoreNews::Seen{config_->newest_change(),
                               upstreams_->newest_change()};
      },
      [this](const StoreNews::Seen& seen) {
        config_->NoteChangeElsewhere(seen.config_change);
        upstreams_->NoteChangeElsewhere(seen.upstreams_change);
      });
  context_.upstreams.set_on_leave([this](const routing::UpstreamPtr& u) {
    context_.client.Forget(u->entry.id);
    context_.prompt_memory.Forget(u->entry.id);
    utils::DecisionLog("upstream_leaves")
        .Add("upstream", u->entry.id)
        .Add("service", u->entry.service)
        .Add("listed", u->listed);
  });
  expire_.setInterval(kExpireInterval);
  connect(&expire_, &QTimer::timeout, this, [this] {
    context_.upstreams.Expire(Clock::now());
    config_->CheckWait();
    upstreams_->CheckWait();
  });
}

TopologyFeed::~TopologyFeed() = default;

void TopologyFeed::Start() {
  config_->Start();
  upstreams_->Start();
  expire_.start();
}

bool TopologyFeed::complete() const {
  return context_.table != nullptr && context_.upstreams_known;
}

void TopologyFeed::NoteComplete() {
  if (!complete()) return;
  if (auto callback = std::exchange(on_complete_, nullptr)) callback();
}

void TopologyFeed::OnConfig(const SourceObject& object) {
  if (object.name != link_.config_name || object.deleted) return;
  auto table = link_.decode_table(object.spec);
  if (!table) {
    utils::DecisionLog("config_unreadable").Add("revision", object.revision);
    return;
  }
  const int64_t held = context_.table ? context_.table->version : -1;
  if (table->version <= held) return;
  utils::DecisionLog("config_in_force")
      .Add("version", table->version)
      .Add("before", held)
      .Add("revision", object.revision)
      .Add("routes", table->routes.size());
  context_.table =
      std::make_shared<const routing::RouteTable>(std::move(*table));
  NoteComplete();
}

std::chrono::steady_clock::time_point TopologyFeed::KeepTill(
    milliseconds outage) {
  // Guard: entries lapse while the store is away, though their processes
  // live; taken as gone at once, a whole service would have no upstream when
  // the store returns. They are back within the grace, or gone.
  const auto now = Clock::now();
  if (outage > kShortOutage) outage_over_ = now;
  const auto grace_ends = outage_over_ + context_.settings.lapsed_grace;
  return std::max(now, grace_ends);
}

void TopologyFeed::OnUpstreamList(std::span<const SourceObject> objects,
                                  milliseconds outage) {
  std::vector<routing::UpstreamEntry> entries;
  for (const SourceObject& object : objects) {
    auto entry = ReadEntry(object);
    if (entry) entries.push_back(std::move(*entry));
  }
  context_.upstreams.ReplaceAll(entries, KeepTill(outage));
  context_.upstreams.Expire(Clock::now());
  context_.upstreams_known = true;
  utils::DecisionLog("upstreams_listed")
      .Add("listed", entries.size())
      .Add("held", context_.upstreams.size())
      .Add("outage_ms", outage.count());
  NoteComplete();
}

void TopologyFeed::OnUpstreamChange(const SourceObject& object,
                                    milliseconds outage) {
  const auto keep_till = KeepTill(outage);
  if (object.deleted) {
    context_.upstreams.Remove(object.name, keep_till);
    context_.upstreams.Expire(Clock::now());
    return;
  }
  const auto entry = ReadEntry(object);
  if (entry) return context_.upstreams.Put(*entry);
  context_.upstreams.Remove(object.name, Clock::now());
  context_.upstreams.Expire(Clock::now());
}

// Another writer may have written the entry: it names no upstream, and one
// that was known by that name is used no longer.
std::optional<routing::UpstreamEntry> TopologyFeed::ReadEntry(
    const SourceObject& object) {
  auto entry = link_.decode_upstream(object.name, object.spec);
  if (!entry) {
    utils::DecisionLog("upstream_entry_unreadable")
        .Add("upstream", object.name)
        .Add("revision", object.revision);
  }
  return entry;
}

void TopologyFeed::OnReachable(const std::string& what, bool reachable,
                               const std::string& why) {
  utils::DecisionLog(reachable ? "store_regained" : "store_lost")
      .Add("watch", what)
      .Add("why", why);
}

}  // namespace turmeric::entry
