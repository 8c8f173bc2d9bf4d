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

/**
 * After an outage of the store of this length, entries may have expired
 * although their processes run: a process renews its entry every second or so,
 * and three missed renewals remove it.
 */
constexpr milliseconds kShortOutage{1000};
/** Interval of checks for expired entries. */
constexpr milliseconds kExpireInterval{100};
/**
 * Time within which an entry of an older copy of the store expires if its
 * process no longer exists: three missed heartbeats of a second or more.
 */
constexpr milliseconds kCopiedEntryLifetime{5000};
/** Time after the end of its wait in which a lost watch is detected. */
constexpr milliseconds kLossDetectionTime{1000};
/** Wait of a watch that only queries for newer changes. */
constexpr milliseconds kImmediateAnswer{1};
/** Source of changes in logs: own calls to the store. */
constexpr auto kStoreSource = "store";
/** Bytes of an unusable name that are logged. */
constexpr size_t kMaxLoggedName = 100;

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
      // A lost watch must be detected well within the evacuation bound.
      if (kind != StoreKind::kEvacuations) return wait;
      return std::min(wait,
                      context_.settings.evacuation_bound - kLossDetectionTime);
    });
  }
  // Changes of upstreams are the most urgent, so their reflector detects that
  // the store is reachable again; after a failure the other two wait for it.
  for (const StoreKind kind : {StoreKind::kConfig, StoreKind::kEvacuations}) {
    Of(kind).reflector->set_probe_leader(*Of(StoreKind::kUpstreams).reflector);
  }
  context_.revision_gossip.Connect(
      [this] { return newest_revisions(); },
      [this](const RevisionGossip::Revisions& peer_revisions) {
        for (auto& [kind, state] : kinds_) {
          state.reflector->OnPeerChange(peer_revisions.Of(kind));
        }
      });
  context_.upstreams.set_on_leave([this](const routing::UpstreamPtr& u) {
    context_.client.CloseIdle(u->entry.id);
    context_.prompt_memory.RemoveEngine(u->entry.id);
    context_.engine_room.Reset(u->entry.id);
    utils::DecisionLog("upstream_leaves")
        .Add("upstream", u->entry.id)
        .Add("service", u->entry.service)
        .Add("listed", u->listed);
  });
  expire_timer_.setInterval(kExpireInterval);
  connect(&expire_timer_, &QTimer::timeout, this, [this] {
    context_.upstreams.Expire(Clock::now());
    ApplyEvacuations();
    context_.cold_limiter.UpdateOwnedParts();
    for (auto& [kind, state] : kinds_) {
      state.reflector->CheckDue();
      LogOverdue(kind, state);
    }
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
            context_.store_unreachable = !reachable;
            utils::DecisionLog(reachable ? "store_regained" : "store_lost")
                .Add("watch", NameOf(kind))
                .Add("why", why);
          }};
}

void TopologyFeed::LogOverdue(StoreKind kind, KindState& state) {
  const auto since = state.reflector->lacking_since();
  const bool is_overdue =
      since && Clock::now() - *since > store::CallSchedule::kMaxReadDelay;
  if (std::exchange(state.is_overdue, is_overdue) == is_overdue) return;
  utils::DecisionLog(is_overdue ? "changes_overdue" : "changes_received")
      .Add("watch", NameOf(kind))
      .Add("known", state.replica.revision())
      .Add("store_reachable", state.reflector->reachable());
}

milliseconds TopologyFeed::watch_wait() const {
  const bool is_long = context_.Uses(config::Mechanism::kLongWatches);
  return context_.revision_gossip.WatchWait(is_long ? watchers_ : 1,
                                            Clock::now());
}

void TopologyFeed::Start() {
  for (auto& [kind, state] : kinds_) state.reflector->Start();
  expire_timer_.start();
}

void TopologyFeed::Watch(bool watch, bool slow_retry) {
  // Guard: an instance that begins to watch during an outage has missed its
  // begin. If the outage looked short, entries that have lapsed in it would be
  // removed at once, although their processes run.
  const auto now = Clock::now();
  const auto age = relayed_store_age_ ? relayed_store_age_() : milliseconds(0);
  const auto heard_at = age == milliseconds::max() ? now : now - age;
  for (auto& [kind, state] : kinds_) {
    state.reflector->set_slow_retry(slow_retry);
    state.reflector->SetPassive(!watch, heard_at);
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
  KindState& kind = Of(changes.kind);
  const store::Position before = kind.replica.revision();
  const auto merged = kind.replica.Merge(*batch);
  if (merged.outcome == store::KindReplica::Outcome::kGap) {
    utils::DecisionLog("relayed_changes_gap")
        .Add("source", source)
        .Add("watch", NameOf(changes.kind))
        .Add("follows", batch->follows)
        .Add("known", kind.replica.revision());
    const bool later_era = store::EraOf(batch->revision) > store::EraOf(before);
    return later_era ? kind.reflector->CatchUpByList(batch->revision)
                     : kind.reflector->CatchUp(batch->revision);
  }
  if (merged.outcome == store::KindReplica::Outcome::kKnown) return;
  const bool from_copy =
      NoteEra(changes.kind, before, kind.replica.revision(), source);
  kind.reflector->AdvanceTo(kind.replica.revision());
  Apply(changes.kind, merged.changes, source, from_copy);
  if (on_merged_) on_merged_(changes.kind, *batch);
}

void TopologyFeed::FetchConfig(std::function<void(bool)> done) {
  KindState& kind = Of(StoreKind::kConfig);
  const store::Position known = kind.replica.revision();
  link_.source->Watch(
      link_.config_kind, known, kImmediateAnswer,
      [this, known, done = std::move(done)](const auto& answer) {
        if (!answer) return done(false);
        const SourceBatch& batch = answer.value();
        OnChanges(StoreKind::kConfig,
                  {.follows = known,
                   .revision = std::max(known, batch.revision),
                   .objects = batch.objects},
                  milliseconds(0));
        KindState& config = Of(StoreKind::kConfig);
        config.reflector->AdvanceTo(config.replica.revision());
        done(true);
      });
}

void TopologyFeed::NoteOutageEnded(Clock::time_point at) {
  if (!outage_ended_ || *outage_ended_ < at) outage_ended_ = at;
}

TopologyFeed::Clock::time_point TopologyFeed::store_answered_at() const {
  auto oldest = Clock::time_point::max();
  for (const auto& [kind, state] : kinds_) {
    oldest = std::min(oldest, state.reflector->last_answer_at());
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

RevisionGossip::Revisions TopologyFeed::newest_revisions() const {
  RevisionGossip::Revisions newest;
  for (const auto& [kind, state] : kinds_) {
    newest.Of(kind) = state.replica.newest_change();
  }
  return newest;
}

bool TopologyFeed::all_synced() const {
  return std::ranges::all_of(
      kinds_, [](const auto& kind) { return kind.second.replica.synced(); });
}

bool TopologyFeed::complete() const {
  return context_.table != nullptr && context_.upstreams_known &&
         kinds_.at(StoreKind::kEvacuations).replica.synced();
}

void TopologyFeed::NoteComplete() {
  if (!complete()) return;
  context_.start_waiters.Release();
  if (auto callback = std::exchange(on_complete_, nullptr)) callback();
}

void TopologyFeed::OnList(StoreKind kind, const store::SourceBatch& list,
                          milliseconds outage) {
  outage = NoteOutage(outage);
  store::KindReplica& replica = Of(kind).replica;
  const bool is_first = !replica.synced();
  const store::Position before = replica.revision();
  const auto changes = replica.MergeList(list);
  // A list that is older than the changes from other instances contains no new
  // changes.
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
  Apply(kind, merged.changes, kStoreSource);
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
  // Entries that the copy lacks may have been written after it was made; they
  // are treated as after an outage.
  NoteOutageEnded(Clock::now());
  if (on_new_era_) on_new_era_();
  return true;
}

// If a followed relay has received answers from the store, only this instance
// was disconnected from the store: no entries have expired, and entries missing
// from the list were removed.
milliseconds TopologyFeed::NoteOutage(milliseconds outage) {
  if (relayed_store_age_) outage = std::min(outage, relayed_store_age_());
  if (outage > kShortOutage) NoteOutageEnded(Clock::now());
  return outage;
}

void TopologyFeed::Apply(StoreKind kind,
                         std::span<const SourceObject> changed_objects,
                         const std::string& source, bool from_copy) {
  if (changed_objects.empty()) return;
  if (kind == StoreKind::kConfig) {
    std::ranges::for_each(changed_objects,
                          [&](const SourceObject& o) { OnConfig(o, source); });
    if (on_applied_) on_applied_();
    return;
  }
  if (kind == StoreKind::kEvacuations) {
    std::ranges::for_each(changed_objects, [&](const SourceObject& o) {
      OnEvacuation(o, source, from_copy);
    });
    return ApplyEvacuations();
  }
  const auto keep_until = KeepUntil();
  std::ranges::for_each(changed_objects, [&](const SourceObject& o) {
    OnUpstreamChange(o, keep_until, from_copy);
  });
  context_.upstreams.Expire(Clock::now());
  if (on_applied_) on_applied_();
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
  for (const std::string_view name : table->ignored_organisations) {
    utils::DecisionLog("config_organisation_ignored")
        .Add("version", table->version)
        .Add("organisation", name.substr(0, kMaxLoggedName));
  }
  for (const std::string& field : table->ignored_limits) {
    utils::DecisionLog("config_limit_ignored")
        .Add("version", table->version)
        .Add("field", field);
  }
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
  // A restored copy of the store may lack an evacuation that is still wanted
  // and is being written again.
  const auto now = Clock::now();
  evacuations_.End(object.name, from_copy ? now + kCopiedEntryLifetime : now);
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
    // No prompts were sent to these upstreams during the evacuation, and their
    // processes may have restarted.
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

TopologyFeed::Clock::time_point TopologyFeed::KeepUntil() const {
  // Entries expire during an outage of the store although their processes run.
  // If they were removed at once, a whole service could be without upstreams
  // when the store returns. Processes that run renew their entries within the
  // grace period.
  const auto now = Clock::now();
  if (!outage_ended_) return now;
  return std::max(now, *outage_ended_ + context_.settings.lapsed_grace);
}

void TopologyFeed::OnUpstreamList(std::span<const SourceObject> objects,
                                  milliseconds outage, bool from_copy) {
  std::vector<routing::UpstreamEntry> entries;
  for (const SourceObject& object : objects) {
    auto entry = DecodeEntry(object);
    if (entry) entries.push_back(std::move(*entry));
  }
  std::optional<Clock::time_point> copy_until;
  if (from_copy) copy_until = Clock::now() + kCopiedEntryLifetime;
  context_.upstreams.ReplaceAll(entries, KeepUntil(), copy_until);
  for (const auto& entry : entries) NoteCold(entry.id);
  context_.upstreams.Expire(Clock::now());
  context_.upstreams_known = true;
  if (on_applied_) on_applied_();
  utils::DecisionLog("upstreams_listed")
      .Add("listed", entries.size())
      .Add("held", context_.upstreams.size())
      .Add("outage_ms", outage.count());
}

void TopologyFeed::OnUpstreamChange(const SourceObject& object,
                                    Clock::time_point keep_until,
                                    bool from_copy) {
  if (object.deleted) return context_.upstreams.Remove(object.name, keep_until);
  const auto entry = DecodeEntry(object);
  if (entry && from_copy) {
    return context_.upstreams.PutFromCopy(*entry,
                                          Clock::now() + kCopiedEntryLifetime);
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

// An entry may come from another writer. If it cannot be decoded, it defines no
// upstream, and a known upstream of that name is removed.
std::optional<routing::UpstreamEntry> TopologyFeed::DecodeEntry(
    const SourceObject& object) {
  auto entry = link_.decode_upstream(object.name, object.spec);
  if (!entry && store::NoteUnreadable(unreadable_upstreams_, object.name,
                                      object.revision)) {
    utils::DecisionLog("upstream_entry_unreadable")
        .Add("upstream", object.name)
        .Add("revision", object.revision);
  }
  return entry;
}

}  // namespace turmeric::entry
