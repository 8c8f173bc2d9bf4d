#include "turmeric/entry/topology_feed.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>
#include <vector>

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/entry_metrics.h"
#include "turmeric/entry/platform_link.h"
#include "turmeric/entry/store_relay.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using peer::StoreKind;
using std::chrono::milliseconds;
using store::SourceBatch;
using store::SourceObject;

namespace {

/** Silence of the store after which entries may have lapsed without their
 * process having gone: a process renews its entry every second or so, and
 * three misses remove it. */
constexpr milliseconds kShortOutage{1000};
/** How often lapsed entries are looked for. */
constexpr milliseconds kExpireInterval{100};
/** An entry of an older copy whose process has gone lapses by then: after three
 * beats of a second and more. */
constexpr milliseconds kCopiedEntryLapses{5000};
/** A watch that is lost is noticed so long after its wait. */
constexpr milliseconds kLossNoticed{1000};
/** Wait of a watch that only asks whether there is anything newer. */
constexpr milliseconds kAnswerAtOnce{1};
/** Where a change came from, in logs: our own calls. */
constexpr auto kStoreSource = "store";

std::string_view NameOf(StoreKind kind) {
  // In the order of StoreKind.
  constexpr std::array<std::string_view, peer::kAllStoreKinds.size()> kNames = {
      "config", "upstreams", "evacuations"};
  return kNames.at(static_cast<size_t>(kind));
}

}  // namespace

TopologyFeed::TopologyFeed(EntryContext& context, PlatformLink& link)
    : context_(context), link_(link) {
  for (const auto& [kind, name] :
       {std::pair(StoreKind::kConfig, link.config_kind),
        std::pair(StoreKind::kUpstreams, link.upstreams_kind),
        std::pair(StoreKind::kEvacuations, link.evacuations_kind)}) {
    kinds_[kind].reflector =
        std::make_unique<store::Reflector>(*link.source, name, EventsOf(kind));
    kinds_[kind].reflector->set_watch_wait([this, kind = kind] {
      const auto wait = watch_wait();
      // A watch that is lost must be noticed well within the bound.
      if (kind != StoreKind::kEvacuations) return wait;
      return std::min(wait, context_.settings.evacuation_bound - kLossNoticed);
    });
  }
  // That upstreams have left must be known sooner than the rest.
  for (const StoreKind kind : {StoreKind::kConfig, StoreKind::kEvacuations}) {
    Of(kind).reflector->Follow(*Of(StoreKind::kUpstreams).reflector);
  }
  context_.news.Connect([this] { return newest(); },
                        [this](const StoreNews::Seen& seen) {
                          for (auto& [kind, state] : kinds_) {
                            state.reflector->NoteChangeElsewhere(seen.Of(kind));
                          }
                        });
  context_.upstreams.set_on_leave([this](const routing::UpstreamPtr& u) {
    context_.client.Forget(u->entry.id);
    context_.prompt_memory.RemoveEngine(u->entry.id);
    utils::DecisionLog("upstream_leaves")
        .Add("upstream", u->entry.id)
        .Add("service", u->entry.service)
        .Add("listed", u->listed);
  });
  expire_.setInterval(kExpireInterval);
  connect(&expire_, &QTimer::timeout, this, [this] {
    context_.upstreams.Expire(Clock::now());
    ApplyEvacuations();
    context_.cold.CheckOwned();
    for (auto& [kind, state] : kinds_) state.reflector->CheckWait();
  });
}

TopologyFeed::~TopologyFeed() = default;

store::ReflectorEvents TopologyFeed::EventsOf(StoreKind kind) {
  return {
      .on_list = [this, kind](
                     const store::SourceBatch& list,
                     milliseconds outage) { OnList(kind, list, outage); },
      .on_changes =
          [this, kind](const store::ChangeBatch& batch, milliseconds outage) {
            OnChanges(kind, batch, outage);
          },
      .on_reachable =
          [this, kind](bool reachable, const std::string& why) {
            context_.store_away = !reachable;
            utils::DecisionLog(reachable ? "store_regained" : "store_lost")
                .Add("watch", NameOf(kind))
                .Add("why", why);
          }};
}

milliseconds TopologyFeed::watch_wait() const {
  const bool is_long = context_.Uses(config::Mechanism::kLongWatches);
  return context_.news.WatchWait(is_long ? watchers_ : 1, Clock::now());
}

void TopologyFeed::Start() {
  for (auto& [kind, state] : kinds_) state.reflector->Start();
  expire_.start();
}

void TopologyFeed::Watch(bool watch, bool patient) {
  for (auto& [kind, state] : kinds_) {
    state.reflector->set_patient(patient);
    state.reflector->Rest(!watch);
  }
}

void TopologyFeed::Merge(const std::string& source,
                         const peer::StoreChanges& changes) {
  const auto batch = FromWire(changes);
  if (!batch) {
    utils::DecisionLog("relayed_changes_unreadable")
        .Add("source", source)
        .Add("revision", changes.revision);
    return;
  }
  Kind& kind = Of(changes.kind);
  const store::Position before = kind.replica.revision();
  const auto merged = kind.replica.Merge(*batch);
  if (merged.outcome == store::KindReplica::Outcome::kGap) {
    utils::DecisionLog("relayed_changes_gap")
        .Add("source", source)
        .Add("watch", NameOf(changes.kind))
        .Add("follows", batch->follows)
        .Add("known", kind.replica.revision());
    const bool later_era = store::EraOf(batch->revision) > store::EraOf(before);
    return later_era ? kind.reflector->CatchUpByList()
                     : kind.reflector->CatchUp();
  }
  if (merged.outcome == store::KindReplica::Outcome::kKnown) return;
  const bool from_copy =
      NoteEra(changes.kind, before, kind.replica.revision(), source);
  kind.reflector->AdvanceTo(kind.replica.revision());
  Apply(changes.kind, merged.news, source, from_copy);
  if (on_merged_) on_merged_(changes.kind, *batch);
}

void TopologyFeed::AskForConfig(std::function<void(bool)> done) {
  Kind& kind = Of(StoreKind::kConfig);
  const store::Position known = kind.replica.revision();
  link_.source->Watch(
      link_.config_kind, known, kAnswerAtOnce,
      [this, known, done = std::move(done)](const auto& answer) {
        if (!answer) return done(false);
        const SourceBatch& batch = answer.value();
        OnChanges(StoreKind::kConfig,
                  {.follows = known,
                   .revision = std::max(known, batch.revision),
                   .objects = batch.objects},
                  milliseconds(0));
        Kind& config = Of(StoreKind::kConfig);
        config.reflector->AdvanceTo(config.replica.revision());
        done(true);
      });
}

void TopologyFeed::NoteOutageEnded(Clock::time_point at) {
  if (!outage_ended_ || *outage_ended_ < at) outage_ended_ = at;
}

TopologyFeed::Clock::time_point TopologyFeed::store_heard() const {
  auto oldest = Clock::time_point::max();
  for (const auto& [kind, state] : kinds_) {
    oldest = std::min(oldest, state.reflector->heard_at());
  }
  return oldest;
}

peer::StoreRevisions TopologyFeed::revisions() const {
  peer::StoreRevisions known;
  for (const auto& [kind, state] : kinds_) {
    known.Of(kind) = state.replica.revision();
  }
  return known;
}

StoreNews::Seen TopologyFeed::newest() const {
  StoreNews::Seen newest;
  for (const auto& [kind, state] : kinds_) {
    newest.Of(kind) = state.replica.newest_change();
  }
  return newest;
}

bool TopologyFeed::read() const {
  return std::ranges::all_of(
      kinds_, [](const auto& kind) { return kind.second.replica.synced(); });
}

bool TopologyFeed::complete() const {
  return context_.table != nullptr && context_.upstreams_known &&
         kinds_.at(StoreKind::kEvacuations).replica.synced();
}

void TopologyFeed::NoteComplete() {
  if (!complete()) return;
  if (auto callback = std::exchange(on_complete_, nullptr)) callback();
}

void TopologyFeed::OnList(StoreKind kind, const store::SourceBatch& list,
                          milliseconds outage) {
  outage = NoteOutage(outage);
  store::KindReplica& replica = Of(kind).replica;
  const bool is_first = !replica.synced();
  const store::Position before = replica.revision();
  const auto changes = replica.MergeList(list);
  // A list that is older than what others have passed on says nothing new.
  if (!changes) return;
  const bool from_copy =
      !is_first && NoteEra(kind, before, replica.revision(), kStoreSource);
  if (kind == StoreKind::kUpstreams) {
    OnUpstreamList(list.objects, outage, from_copy);
  } else {
    Apply(kind, changes->objects, kStoreSource, from_copy);
  }
  NoteComplete();
  if (on_merged_) on_merged_(kind, *changes);
}

void TopologyFeed::OnChanges(StoreKind kind, const store::ChangeBatch& batch,
                             milliseconds outage) {
  NoteOutage(outage);
  const auto merged = Of(kind).replica.Merge(batch);
  if (merged.outcome != store::KindReplica::Outcome::kMerged) return;
  Apply(kind, merged.news, kStoreSource);
  if (on_merged_) on_merged_(kind, batch);
}

bool TopologyFeed::NoteEra(StoreKind kind, store::Position before,
                           store::Position after, const std::string& source) {
  if (store::EraOf(after) == store::EraOf(before)) return false;
  utils::DecisionLog("store_came_back")
      .Add("watch", NameOf(kind))
      .Add("source", source)
      .Add("era", store::EraOf(after))
      .Add("revision", store::RevisionOf(after))
      .Add("era_before", store::EraOf(before))
      .Add("revision_before", store::RevisionOf(before));
  // What the copy lacks may have been written since: its entries have lapsed.
  NoteOutageEnded(Clock::now());
  if (on_new_era_) on_new_era_();
  return true;
}

// While others have heard the store, only we were without it: its entries have
// not lapsed, and what is missing is gone.
milliseconds TopologyFeed::NoteOutage(milliseconds outage) {
  if (others_store_age_) outage = std::min(outage, others_store_age_());
  if (outage > kShortOutage) NoteOutageEnded(Clock::now());
  return outage;
}

void TopologyFeed::Apply(StoreKind kind, std::span<const SourceObject> news,
                         const std::string& source, bool from_copy) {
  if (news.empty()) return;
  if (kind == StoreKind::kConfig) {
    std::ranges::for_each(news,
                          [&](const SourceObject& o) { OnConfig(o, source); });
    return;
  }
  if (kind == StoreKind::kEvacuations) {
    std::ranges::for_each(news, [&](const SourceObject& o) {
      OnEvacuation(o, source, from_copy);
    });
    return ApplyEvacuations();
  }
  const auto keep_till = KeepTill();
  std::ranges::for_each(news, [&](const SourceObject& o) {
    OnUpstreamChange(o, keep_till, from_copy);
  });
  context_.upstreams.Expire(Clock::now());
}

void TopologyFeed::OnConfig(const SourceObject& object,
                            const std::string& source) {
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
      .Add("source", source)
      .Add("routes", table->routes.size());
  context_.table =
      std::make_shared<const routing::RouteTable>(std::move(*table));
  NoteComplete();
}

void TopologyFeed::OnEvacuation(const SourceObject& object,
                                const std::string& source, bool from_copy) {
  utils::DecisionLog(object.deleted ? "evacuation_taken_back" : "evacuation")
      .Add("zone", object.name)
      .Add("revision", object.revision)
      .Add("source", source)
      .Add("from_copy", from_copy);
  if (!object.deleted) return evacuations_.Begin(object.name);
  // Guard: a copy of the store may lack an evacuation that is still wanted and
  // is being written again.
  const auto now = Clock::now();
  evacuations_.End(object.name, from_copy ? now + kCopiedEntryLapses : now);
}

void TopologyFeed::ApplyEvacuations() {
  auto zones = evacuations_.Zones(Clock::now());
  const std::set<std::string, std::less<>> before =
      context_.upstreams.evacuated();
  if (zones == before) return;
  context_.upstreams.SetEvacuated(std::move(zones));
  const auto& evacuated = context_.upstreams.evacuated();
  size_t upstreams = 0;
  for (const std::string& zone : evacuated) {
    upstreams += context_.upstreams.InZone(zone).size();
  }
  for (const std::string& zone : before) {
    if (evacuated.contains(zone)) continue;
    // Nothing was read there meanwhile, and its processes may be new.
    for (const auto& u : context_.upstreams.InZone(zone)) {
      context_.prompt_memory.RemoveEngine(u->entry.id);
      u->latency_ms = routing::Upstream().latency_ms;
      const auto* spec = context_.FindService(u->entry.service);
      if (spec != nullptr) u->cold_until = Clock::now() + spec->cold_start;
    }
  }
  utils::DecisionLog("evacuations_in_force")
      .Add("zones", evacuated.size())
      .Add("zones_before", before.size())
      .Add("upstreams", upstreams);
  context_.metrics->SetEvacuated(upstreams);
}

TopologyFeed::Clock::time_point TopologyFeed::KeepTill() const {
  // Guard: entries lapse while the store is away, though their processes
  // live; taken as gone at once, a whole service would have no upstream when
  // the store returns. They are back within the grace, or gone.
  const auto now = Clock::now();
  if (!outage_ended_) return now;
  return std::max(now, *outage_ended_ + context_.settings.lapsed_grace);
}

void TopologyFeed::OnUpstreamList(std::span<const SourceObject> objects,
                                  milliseconds outage, bool from_copy) {
  std::vector<routing::UpstreamEntry> entries;
  for (const SourceObject& object : objects) {
    auto entry = ReadEntry(object);
    if (entry) entries.push_back(std::move(*entry));
  }
  std::optional<Clock::time_point> copy_till;
  if (from_copy) copy_till = Clock::now() + kCopiedEntryLapses;
  context_.upstreams.ReplaceAll(entries, KeepTill(), copy_till);
  for (const auto& entry : entries) NoteCold(entry.id);
  context_.upstreams.Expire(Clock::now());
  context_.upstreams_known = true;
  utils::DecisionLog("upstreams_listed")
      .Add("listed", entries.size())
      .Add("held", context_.upstreams.size())
      .Add("outage_ms", outage.count());
}

void TopologyFeed::OnUpstreamChange(const SourceObject& object,
                                    Clock::time_point keep_till,
                                    bool from_copy) {
  if (object.deleted) return context_.upstreams.Remove(object.name, keep_till);
  const auto entry = ReadEntry(object);
  if (entry && from_copy) {
    return context_.upstreams.PutFromCopy(*entry,
                                          Clock::now() + kCopiedEntryLapses);
  }
  if (entry) {
    context_.upstreams.Put(*entry);
    return NoteCold(object.name);
  }
  context_.upstreams.Remove(object.name, Clock::now());
}

void TopologyFeed::NoteCold(std::string_view upstream) {
  const routing::UpstreamPtr found = context_.upstreams.Find(upstream);
  if (!found || found->entry.cold_left <= milliseconds(0)) return;
  found->cold_until =
      std::max(found->cold_until, Clock::now() + found->entry.cold_left);
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

}  // namespace turmeric::entry
