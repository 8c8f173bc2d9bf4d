#include "relay_fleet_simulation.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "turmeric/entry/relay_choice.h"

namespace turmeric::entry::test {

using peer::Frame;
using peer::RelayStatus;
using peer::StoreKind;
using std::chrono::milliseconds;
using store::CallSchedule;
using store::KindReplica;
using store::SourceObject;

namespace {

constexpr milliseconds kDecisionInterval{250};
constexpr milliseconds kHeartbeatInterval{1000};
constexpr milliseconds kFollowInterval{1500};
/** Steps between the decisions of two instances, at most. */
constexpr int kPhases = 20;
constexpr std::array kKinds = {StoreKind::kConfig, StoreKind::kUpstreams};

}  // namespace

RelayFleetSimulation::RelayFleetSimulation(int nodes, uint32_t seed)
    : random_(seed) {
  for (const StoreKind kind : kKinds) stores_[kind];
  for (int i = 0; i < nodes; ++i) {
    fleet_["n" + std::to_string(i)] = {.address = "10.0.0.1:1",
                                       .zone = i % 2 == 0 ? "a" : "b",
                                       .cpu_share = 0.1};
  }
  for (const auto& [name, info] : fleet_) Start(name);
}

RelayFleetSimulation::Node& RelayFleetSimulation::RandomNode() {
  auto it = nodes_.begin();
  std::advance(it, RandomBelow(static_cast<int>(nodes_.size())));
  return it->second;
}

void RelayFleetSimulation::Start(std::string name) {
  Node& node = nodes_[name];
  node = Node{};
  node.name = std::move(name);
  node.preferred = SourcesFor(fleet_, node.name);
  const auto relays = RelaysOfZone(fleet_, fleet_.at(node.name).zone);
  node.is_ranked = std::ranges::count(relays, node.name) > 0;
  node.policy = std::make_unique<FollowPolicy>();
  node.relay =
      std::make_unique<StoreRelay>([&node](const std::string& follower) {
        return &node.outgoing[follower];
      });
  node.phase = kStep * RandomBelow(kPhases);
  node.reaches_store_since = node.fault_ended_at =
      std::max(now_, outage_until_);
  for (const StoreKind kind : kKinds) {
    CallSchedule& schedule = node.feeds[kind].schedule;
    schedule.Start();
    schedule.SetPassive(true, now_);
  }
}

void RelayFleetSimulation::Step() {
  now_ += kStep;
  Deliver();
  for (auto& [name, node] : nodes_) {
    if (now_ < node.frozen_until) continue;
    for (const StoreKind kind : kKinds) {
      AdvanceCall(node, kind);
      MakeCalls(node, kind);
    }
    const auto since = now_.time_since_epoch() + node.phase;
    if (since % kDecisionInterval == milliseconds(0)) Decide(node);
    if (since % kFollowInterval == milliseconds(0)) {
      for (const auto& source : node.policy->sources()) {
        SendFollow(node, source, false);
      }
    }
    if (since % kHeartbeatInterval == milliseconds(0) && synced(node)) {
      node.relay->SendHeartbeats(StatusOf(node), now_);
    }
    Flush(node);
  }
}

void RelayFleetSimulation::ChangeStore() {
  const StoreKind kind = kKinds.at(static_cast<size_t>(RandomBelow(2)));
  const std::string name(1, static_cast<char>('a' + RandomBelow(4)));
  stores_.at(kind).Change(name, RandomBelow(3) == 0, now_);
}

void RelayFleetSimulation::RestoreStore() {
  const StoreKind kind = kKinds.at(static_cast<size_t>(RandomBelow(2)));
  stores_.at(kind).RestoreFromCopy(static_cast<size_t>(RandomBelow(12)), now_);
}

void RelayFleetSimulation::DropHistory() {
  for (auto& [kind, store] : stores_) store.DropHistory();
  for (auto& [name, node] : nodes_) {
    for (auto& [kind, feed] : node.feeds) {
      if (!feed.flight || feed.flight->call.is_list) continue;
      FailCall(feed, utils::Errc::kStoreRevisionGone);
    }
  }
}

void RelayFleetSimulation::BeginOutage(milliseconds time) {
  outage_until_ = std::max(outage_until_, now_ + time);
  for (auto& [name, node] : nodes_) {
    node.reaches_store_since =
        std::max(node.reaches_store_since, outage_until_);
    NoteFault(node, outage_until_);
  }
}

void RelayFleetSimulation::Freeze(Node& node, milliseconds time) {
  node.frozen_until = now_ + time;
  node.reaches_store_since =
      std::max(node.reaches_store_since, node.frozen_until);
  NoteFault(node, node.frozen_until);
}

void RelayFleetSimulation::CutFromStore(Node& node, milliseconds time) {
  node.store_cut_until = now_ + time;
  node.reaches_store_since =
      std::max(node.reaches_store_since, node.store_cut_until);
  NoteFault(node, node.store_cut_until);
}

void RelayFleetSimulation::Restart(Node& node) {
  BreakLinks(node.name);
  Start(node.name);
}

void RelayFleetSimulation::BreakLinks(std::string_view name) {
  std::erase_if(in_transit_, [&](const FrameInTransit& f) {
    return f.from == name || f.to == name;
  });
  for (auto& [other, node] : nodes_) {
    if (other == name) {
      for (const auto& source : node.policy->sources()) {
        node.policy->OnDisconnected(source, now_);
      }
    } else if (node.policy->IsFollowed(std::string(name))) {
      node.policy->OnDisconnected(std::string(name), now_);
    }
  }
}

void RelayFleetSimulation::NoteFault(Node& node, Clock::time_point end) {
  node.fault_ended_at = std::max(node.fault_ended_at, end);
}

bool RelayFleetSimulation::ReachesStore(const Node& node) const {
  return now_ >= node.store_cut_until && now_ >= outage_until_;
}

bool RelayFleetSimulation::synced(const Node& node) const {
  return std::ranges::all_of(node.feeds, [](const auto& feed) {
    return feed.second.replica.synced();
  });
}

peer::StoreRevisions RelayFleetSimulation::RevisionsOf(const Node& node) const {
  peer::StoreRevisions revisions;
  for (const auto& [kind, feed] : node.feeds) {
    revisions.Of(kind) = feed.replica.revision();
  }
  return revisions;
}

RelayFleetSimulation::Clock::time_point RelayFleetSimulation::StoreAnsweredAt(
    const Node& node) const {
  auto oldest = Clock::time_point::max();
  for (const auto& [kind, feed] : node.feeds) {
    oldest = std::min(oldest, feed.schedule.answered_at());
  }
  return oldest;
}

RelayStatus RelayFleetSimulation::StatusOf(const Node& node) const {
  return {.store_age = node.policy->StoreAge(StoreAnsweredAt(node), now_),
          .outage_ended = std::nullopt,
          .known = RevisionsOf(node)};
}

void RelayFleetSimulation::Decide(Node& node) {
  const auto decision = node.policy->Decide(
      {.preferred = node.preferred,
       .is_relay = node.is_ranked || node.relay->followers() > 0,
       .store_answered_at = StoreAnsweredAt(node),
       .watch_wait = kWatchWait},
      now_);
  node.watches = decision.watch;
  for (auto& [kind, feed] : node.feeds) {
    feed.schedule.set_slow_retry(decision.slow_retry);
    feed.schedule.SetPassive(!decision.watch, now_);
  }
  for (const auto& name : decision.to_follow) SendFollow(node, name, true);
}

void RelayFleetSimulation::SendFollow(Node& node, const std::string& source,
                                      bool resync) {
  Frame frame;
  frame.follow = {.wanted = true, .resync = resync, .known = RevisionsOf(node)};
  Send({.arrives = {},
        .from = node.name,
        .to = source,
        .to_relay = true,
        .frame = std::move(frame)});
}

void RelayFleetSimulation::Send(FrameInTransit transit) {
  transit.arrives = now_ + kStep * RandomBelow(4);
  // Frames of one connection arrive in order.
  for (const FrameInTransit& other : in_transit_) {
    const bool same = other.from == transit.from && other.to == transit.to &&
                      other.to_relay == transit.to_relay;
    if (same) transit.arrives = std::max(transit.arrives, other.arrives);
  }
  in_transit_.push_back(std::move(transit));
}

void RelayFleetSimulation::Flush(Node& node) {
  for (auto& [follower, outgoing] : node.outgoing) {
    if (!outgoing.relay && outgoing.store_changes.empty()) continue;
    Frame frame = std::exchange(outgoing, {});
    for (peer::StoreChanges& changes : frame.store_changes) {
      const bool is_large =
          changes.kind == StoreKind::kConfig && !changes.objects.empty();
      if (!is_large) continue;
      changes.objects.clear();
      changes.follows = changes.revision;
    }
    Send({.arrives = {},
          .from = node.name,
          .to = follower,
          .to_relay = false,
          .frame = std::move(frame)});
  }
}

void RelayFleetSimulation::Deliver() {
  for (size_t i = 0; i < in_transit_.size();) {
    Node& to = nodes_.find(in_transit_[i].to)->second;
    // Frames to a frozen instance wait in its socket buffers.
    if (in_transit_[i].arrives > now_ || now_ < to.frozen_until) {
      ++i;
      continue;
    }
    const FrameInTransit transit = std::move(in_transit_[i]);
    in_transit_.erase(in_transit_.begin() + static_cast<std::ptrdiff_t>(i));
    transit.to_relay ? OnFollowRequest(to, transit) : OnChanges(to, transit);
  }
}

void RelayFleetSimulation::OnFollowRequest(Node& relay,
                                           const FrameInTransit& transit) {
  if (!synced(relay)) return;
  relay.relay->OnFollow(transit.from, *transit.frame.follow, StatusOf(relay),
                        now_);
}

void RelayFleetSimulation::OnChanges(Node& node,
                                     const FrameInTransit& transit) {
  if (!node.policy->IsFollowed(transit.from)) return;
  for (const auto& changes : transit.frame.store_changes) {
    if (node.feeds.contains(changes.kind)) MergeRelayed(node, changes);
  }
  if (!transit.frame.relay) return;
  const bool behind = std::ranges::any_of(kKinds, [&](StoreKind kind) {
    return transit.frame.relay->known.Of(kind) <
           node.feeds.at(kind).replica.newest_change();
  });
  node.policy->OnStatus(transit.from, transit.frame.relay->store_age, behind,
                        now_);
}

void RelayFleetSimulation::MergeRelayed(Node& node,
                                        const peer::StoreChanges& changes) {
  Feed& feed = node.feeds.at(changes.kind);
  const auto batch = FromWire(changes);
  const auto before = feed.replica.revision();
  const auto merged = feed.replica.Merge(*batch);
  if (merged.outcome == KindReplica::Outcome::kGap) {
    if (store::EraOf(batch->revision) > store::EraOf(before)) {
      feed.schedule.RequireList();
    }
    feed.schedule.RequireUpTo(batch->revision, now_);
  }
  if (merged.outcome != KindReplica::Outcome::kMerged) return;
  feed.schedule.AdvanceTo(feed.replica.revision(), now_);
  Apply(feed, merged.changes);
  node.relay->OnMerged(changes.kind, *batch, StatusOf(node));
}

bool RelayFleetSimulation::AllUpToDate() const {
  return std::ranges::all_of(nodes_, [&](const auto& entry) {
    return std::ranges::all_of(entry.second.feeds, [&](const auto& feed) {
      return feed.second.replica.revision() ==
             stores_.at(feed.first).position();
    });
  });
}

bool RelayFleetSimulation::AllConsistent() const {
  return std::ranges::all_of(nodes_, [&](const auto& entry) {
    return std::ranges::all_of(entry.second.feeds, [&](const auto& feed) {
      const auto& [kind, state] = feed;
      return !state.replica.synced() ||
             state.held == stores_.at(kind).HeldAt(state.replica.revision());
    });
  });
}

std::string RelayFleetSimulation::LateNode(
    milliseconds bound,
    const std::function<Clock::time_point(const Node&)>& begin) const {
  for (const auto& [name, node] : nodes_) {
    if (now_ - begin(node) <= bound) continue;
    for (const auto& [kind, feed] : node.feeds) {
      const auto due = stores_.at(kind).PositionBefore(now_ - bound);
      if (feed.replica.revision() < due) return name;
    }
  }
  return {};
}

int64_t RelayFleetSimulation::WatcherCount() const {
  return std::ranges::count_if(
      nodes_, [](const auto& entry) { return entry.second.watches; });
}

}  // namespace turmeric::entry::test
