#include "relay_fleet_simulation.h"

namespace turmeric::entry::test {

using peer::StoreKind;
using std::chrono::milliseconds;
using store::CallSchedule;
using store::ChangeBatch;
using store::KindReplica;
using store::SourceObject;

namespace {

/** Timeout of a list, and time by which that of a watch exceeds its wait. */
constexpr milliseconds kListTimeout{1500};
constexpr milliseconds kWatchGrace{800};

}  // namespace

void RelayFleetSimulation::MakeCalls(Node& node, StoreKind kind) {
  const bool leader_probes =
      kind != StoreKind::kUpstreams &&
      node.feeds.at(StoreKind::kUpstreams).schedule.probes();
  Feed& feed = node.feeds.at(kind);
  const auto call = feed.schedule.TakeCall(
      {.watch_wait = kWatchWait, .leader_probes = leader_probes}, now_);
  if (!call) return;
  ++calls_;
  feed.flight = {.call = *call, .started_at = now_};
}

void RelayFleetSimulation::FailCall(Feed& feed, utils::Errc code) {
  const CallSchedule::Call call = feed.flight->call;
  feed.flight.reset();
  const double jitter = 0.6 + 0.01 * RandomBelow(61);
  feed.schedule.OnFailed(call, code, jitter, now_);
}

// A call that is in flight while the store cannot be reached is refused, or is
// never answered.
void RelayFleetSimulation::AdvanceCall(Node& node, StoreKind kind) {
  Feed& feed = node.feeds.at(kind);
  if (!feed.flight) return;
  Feed::Flight& flight = *feed.flight;
  if (!ReachesStore(node) && !flight.lost) {
    flight.lost = RandomBelow(2) == 0;
    if (!flight.lost) return FailCall(feed, utils::Errc::kStoreUnavailable);
  }
  const milliseconds timeout =
      flight.call.is_list ? kListTimeout : flight.call.wait + kWatchGrace;
  if (flight.lost) {
    if (now_ - flight.started_at < timeout) return;
    return FailCall(feed, utils::Errc::kStoreUnavailable);
  }
  if (flight.call.is_list) return AnswerList(node, kind);
  const auto batch = stores_.at(kind).Since(flight.call.after);
  if (!batch) return FailCall(feed, utils::Errc::kStoreRevisionGone);
  const bool waits =
      batch->objects.empty() && now_ - flight.started_at < flight.call.wait;
  if (!waits) AnswerWatch(node, kind, *batch);
}

void RelayFleetSimulation::Apply(Feed& feed,
                                 const std::vector<SourceObject>& objects) {
  for (const SourceObject& object : objects) {
    if (object.deleted) {
      feed.held.erase(object.name);
    } else {
      feed.held[object.name] = object.spec["content"].toInteger();
    }
  }
}

void RelayFleetSimulation::AnswerList(Node& node, StoreKind kind) {
  Feed& feed = node.feeds.at(kind);
  const CallSchedule::Call call = feed.flight->call;
  feed.flight.reset();
  const auto list = stores_.at(kind).List();
  feed.schedule.OnListed(call, list.revision, now_);
  const auto changes = feed.replica.MergeList(list);
  if (!changes) return;
  Apply(feed, changes->objects);
  node.relay->OnMerged(kind, *changes, StatusOf(node));
}

void RelayFleetSimulation::AnswerWatch(Node& node, StoreKind kind,
                                       const ChangeBatch& batch) {
  Feed& feed = node.feeds.at(kind);
  const CallSchedule::Call call = feed.flight->call;
  feed.flight.reset();
  feed.schedule.OnWatched(call, batch.revision, !batch.objects.empty(), now_);
  const auto merged = feed.replica.Merge(batch);
  if (merged.outcome != KindReplica::Outcome::kMerged) return;
  Apply(feed, merged.changes);
  node.relay->OnMerged(kind, batch, StatusOf(node));
}

}  // namespace turmeric::entry::test
