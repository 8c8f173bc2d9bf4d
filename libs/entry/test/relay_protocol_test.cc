#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "turmeric/entry/follow_policy.h"
#include "turmeric/entry/relay_choice.h"
#include "turmeric/entry/store_relay.h"
#include "turmeric/store/kind_replica.h"
#include "turmeric/store/position.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using turmeric::entry::FollowPolicy;
using turmeric::entry::FromWire;
using turmeric::entry::Instances;
using turmeric::entry::RelaysOfZone;
using turmeric::entry::SourcesFor;
using turmeric::entry::StoreRelay;
using turmeric::peer::Frame;
using turmeric::peer::RelayStatus;
using turmeric::peer::StoreKind;
using turmeric::store::ChangeBatch;
using turmeric::store::EraOf;
using turmeric::store::KindReplica;
using turmeric::store::MakePosition;
using turmeric::store::Position;
using turmeric::store::RevisionOf;
using turmeric::store::SourceBatch;
using turmeric::store::SourceObject;

namespace {

using Clock = FollowPolicy::Clock;

constexpr milliseconds kTimeStep{50};
constexpr milliseconds kDecisionInterval{250};
constexpr milliseconds kHeartbeatInterval{1000};
constexpr milliseconds kFollowInterval{1500};
/**
 * Time within which a change is known to every instance that has a working path
 * to the store.
 */
constexpr milliseconds kBound{3500};

/**
 * Model of the store: for each era a log of changes and the contents after each
 * change. An era begins when the store is restored from a copy.
 */
struct Store {
  /** An object's content and the revision of its last change. */
  struct Object {
    int64_t content = 0;
    int64_t revision = 0;
  };
  using Contents = std::map<std::string, int64_t>;
  using Objects = std::map<std::string, Object>;
  struct Era {
    std::vector<SourceObject> log;
    std::vector<Objects> held = {{}};
  };

  Store() { heads.emplace_back(Clock::time_point(), position()); }

  void Change(const std::string& name, bool remove, Clock::time_point now) {
    Era& era = eras.back();
    Objects next = era.held.back();
    const auto revision = static_cast<int64_t>(era.held.size());
    remove = remove && next.contains(name);
    if (remove) {
      next.erase(name);
    } else {
      next[name] = {++last_content, revision};
    }
    era.log.push_back(ToSource(name, {last_content, revision}, remove));
    era.held.push_back(std::move(next));
    heads.emplace_back(now, position());
  }
  /**
   * Restores the store from a copy.
   * @param lost number of the latest changes that the copy lacks.
   */
  void RestoreFromCopy(size_t lost, Clock::time_point now) {
    Era copy = eras.back();
    lost = std::min(lost, copy.log.size());
    copy.log.resize(copy.log.size() - lost);
    copy.held.resize(copy.held.size() - lost);
    eras.push_back(std::move(copy));
    heads.emplace_back(now, position());
  }
  int64_t era() const { return static_cast<int64_t>(eras.size()) - 1; }
  Position position() const {
    return MakePosition(era(),
                        static_cast<int64_t>(eras.back().held.size()) - 1);
  }
  /** @return the changes after a position; nullopt if it is of another era. */
  std::optional<ChangeBatch> Since(Position known) const {
    if (EraOf(known) != era()) return std::nullopt;
    const auto& log = eras.back().log;
    return ChangeBatch{
        known, position(), {log.begin() + RevisionOf(known), log.end()}};
  }
  SourceBatch List() const {
    SourceBatch list{.objects = {}, .revision = position()};
    for (const auto& [name, object] : eras.back().held.back()) {
      list.objects.push_back(ToSource(name, object, false));
    }
    return list;
  }
  /** @return the store's contents at a position. */
  Contents HeldAt(Position at) const {
    Contents contents;
    const auto& era = eras[static_cast<size_t>(EraOf(at))];
    for (const auto& [name, object] :
         era.held[static_cast<size_t>(RevisionOf(at))]) {
      contents[name] = object.content;
    }
    return contents;
  }
  /** @return the newest position that is older than a point in time. */
  Position PositionBefore(Clock::time_point time) const {
    const auto next = std::ranges::upper_bound(
        heads, time, {}, &std::pair<Clock::time_point, Position>::first);
    return next == heads.begin() ? 0 : std::prev(next)->second;
  }

  std::vector<Era> eras = std::vector<Era>(1);
  int64_t last_content = 0;
  std::vector<std::pair<Clock::time_point, Position>> heads;

 private:
  SourceObject ToSource(const std::string& name, const Object& object,
                        bool deleted) const {
    return {.name = name,
            .spec = {{"content", static_cast<qint64>(object.content)}},
            .revision = MakePosition(era(), object.revision),
            .deleted = deleted};
  }
};

/**
 * One instance: the production decision logic, with modelled connections and a
 * modelled store.
 */
struct Node {
  std::string name;
  std::unique_ptr<KindReplica> replica;
  std::unique_ptr<FollowPolicy> policy;
  std::unique_ptr<StoreRelay> relay;
  std::map<std::string, Frame> outgoing;  ///< By follower.
  Store::Contents held;
  Clock::time_point store_answered_at;
  Clock::time_point frozen_until;
  Clock::time_point store_cut_until;
  Clock::time_point fault_ended_at;  ///< End of the last fault.
  bool watches = false;
  bool catch_up = false;
  milliseconds phase{0};
};

/** A frame in transit; `to_relay` is the direction. */
struct FrameInTransit {
  Clock::time_point arrives;
  std::string from;
  std::string to;
  bool to_relay = false;
  Frame frame;
};

class FleetSimulation {
 public:
  FleetSimulation(int nodes, uint32_t seed) : random_(seed) {
    for (int i = 0; i < nodes; ++i) {
      const std::string name = "n" + std::to_string(i);
      fleet_[name] = {.address = "10.0.0.1:1",
                      .zone = i % 2 == 0 ? "a" : "b",
                      .cpu_share = 0.1};
    }
    for (const auto& [name, info] : fleet_) Start(name);
  }

  int RandomBelow(int below) {
    return static_cast<int>(random_() % static_cast<uint32_t>(below));
  }
  Node& RandomNode() {
    auto it = nodes_.begin();
    std::advance(it, RandomBelow(static_cast<int>(nodes_.size())));
    return it->second;
  }

  /** Advances time by one step. */
  void Step() {
    now_ += kTimeStep;
    Deliver();
    for (auto& [name, node] : nodes_) {
      if (now_ < node.frozen_until) continue;
      WatchStore(node);
      const auto since = now_.time_since_epoch() + node.phase;
      if (since % kDecisionInterval == 0ms) Decide(node);
      if (since % kFollowInterval == 0ms) {
        for (const auto& source : node.policy->sources()) {
          SendFollow(node, source, false);
        }
      }
      if (since % kHeartbeatInterval == 0ms && node.replica->synced()) {
        node.relay->SendHeartbeats(StatusOf(node), now_);
      }
      Flush(node);
    }
    Check();
  }
  void ChangeStore() {
    store_.Change(std::string(1, static_cast<char>('a' + RandomBelow(4))),
                  RandomBelow(3) == 0, now_);
  }
  void RestoreStore() {
    store_.RestoreFromCopy(static_cast<size_t>(RandomBelow(12)), now_);
  }
  void Freeze(Node& node, milliseconds time) {
    node.frozen_until = now_ + time;
    NoteFault(node, time);
  }
  void CutFromStore(Node& node, milliseconds time) {
    node.store_cut_until = now_ + time;
    NoteFault(node, time);
  }
  void Restart(Node& node) {
    BreakLinks(node.name);
    Start(node.name);
  }
  /** Resets an instance's connections; frames in transit are lost. */
  void BreakLinks(const std::string& name) {
    std::erase_if(in_transit_, [&](const FrameInTransit& f) {
      return f.from == name || f.to == name;
    });
    for (auto& [other, node] : nodes_) {
      if (other == name) {
        for (const auto& source : node.policy->sources()) {
          node.policy->OnDisconnected(source, now_);
        }
      } else if (node.policy->IsFollowed(name)) {
        node.policy->OnDisconnected(name, now_);
      }
    }
  }
  bool AllUpToDate() const {
    return std::ranges::all_of(nodes_, [&](const auto& entry) {
      return entry.second.replica->revision() == store_.position();
    });
  }
  /** @return number of instances that watch the store. */
  int64_t WatcherCount() const {
    return std::ranges::count_if(
        nodes_, [](const auto& entry) { return entry.second.watches; });
  }

  bool store_cuts = false;  ///< Some instances lose their path to the store.

 private:
  void Start(std::string name) {
    Node& node = nodes_[name];
    node = Node{};
    node.name = std::move(name);
    node.replica = std::make_unique<KindReplica>();
    node.policy = std::make_unique<FollowPolicy>();
    node.relay =
        std::make_unique<StoreRelay>([&node](const std::string& follower) {
          return &node.outgoing[follower];
        });
    node.phase = kTimeStep * RandomBelow(20);
    node.fault_ended_at = now_;
  }
  void NoteFault(Node& node, milliseconds time) {
    node.fault_ended_at = now_ + time;
  }

  RelayStatus StatusOf(const Node& node) const {
    return {.store_age = node.policy->StoreAge(node.store_answered_at, now_),
            .outage_ended = std::nullopt,
            .known = {0, node.replica->revision(), 0}};
  }

  void Apply(Node& node, const std::vector<SourceObject>& changed_objects) {
    for (const SourceObject& object : changed_objects) {
      if (object.deleted) {
        node.held.erase(object.name);
      } else {
        node.held[object.name] = object.spec["content"].toInteger();
      }
    }
  }

  void WatchStore(Node& node) {
    if (now_ < node.store_cut_until) return;
    if (!node.replica->synced()) return ListStore(node);
    if (!node.watches && !node.catch_up) return;
    node.catch_up = false;
    node.store_answered_at = now_;
    const auto batch = store_.Since(node.replica->revision());
    if (!batch) return ListStore(node);
    const auto merged = node.replica->Merge(*batch);
    if (merged.outcome != KindReplica::Outcome::kMerged) return;
    Apply(node, merged.changes);
    node.relay->OnMerged(StoreKind::kUpstreams, *batch, StatusOf(node));
  }

  void ListStore(Node& node) {
    const auto changes = node.replica->MergeList(store_.List());
    if (!changes) return;
    Apply(node, changes->objects);
    node.store_answered_at = now_;
    node.relay->OnMerged(StoreKind::kUpstreams, *changes, StatusOf(node));
  }

  void Decide(Node& node) {
    const auto relays = RelaysOfZone(fleet_, fleet_.at(node.name).zone);
    const bool is_ranked = std::ranges::count(relays, node.name) > 0;
    const auto decision = node.policy->Decide(
        {.preferred = SourcesFor(fleet_, node.name),
         .is_relay = is_ranked || node.relay->followers() > 0,
         .store_answered_at = node.store_answered_at},
        now_);
    node.watches = decision.watch;
    for (const auto& name : decision.to_follow) SendFollow(node, name, true);
  }

  void SendFollow(Node& node, const std::string& source, bool resync) {
    Frame frame;
    frame.follow = {.wanted = true,
                    .resync = resync,
                    .known = {0, node.replica->revision(), 0}};
    Send({.arrives = {},
          .from = node.name,
          .to = source,
          .to_relay = true,
          .frame = std::move(frame)});
  }

  void Send(FrameInTransit transit) {
    transit.arrives = now_ + kTimeStep * RandomBelow(4);
    // Frames of one connection arrive in order.
    for (const FrameInTransit& other : in_transit_) {
      const bool same = other.from == transit.from && other.to == transit.to &&
                        other.to_relay == transit.to_relay;
      if (same) transit.arrives = std::max(transit.arrives, other.arrives);
    }
    in_transit_.push_back(std::move(transit));
  }

  void Flush(Node& node) {
    for (auto& [follower, frame] : node.outgoing) {
      if (!frame.relay && frame.store_changes.empty()) continue;
      Send({.arrives = {},
            .from = node.name,
            .to = follower,
            .to_relay = false,
            .frame = std::exchange(frame, {})});
    }
  }

  void Deliver() {
    for (size_t i = 0; i < in_transit_.size();) {
      Node& to = nodes_.at(in_transit_[i].to);
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

  void OnFollowRequest(Node& relay, const FrameInTransit& transit) {
    if (!relay.replica->synced()) return;
    relay.relay->OnFollow(transit.from, *transit.frame.follow, StatusOf(relay),
                          now_);
  }

  void OnChanges(Node& node, const FrameInTransit& transit) {
    if (!node.policy->IsFollowed(transit.from)) return;
    for (const auto& changes : transit.frame.store_changes) {
      if (changes.kind != StoreKind::kUpstreams) continue;
      const auto batch = FromWire(changes);
      const auto merged = node.replica->Merge(*batch);
      if (merged.outcome == KindReplica::Outcome::kGap) node.catch_up = true;
      if (merged.outcome != KindReplica::Outcome::kMerged) continue;
      Apply(node, merged.changes);
      node.relay->OnMerged(StoreKind::kUpstreams, *batch, StatusOf(node));
    }
    if (!transit.frame.relay) return;
    const bool behind =
        transit.frame.relay->known.upstreams < node.replica->newest_change();
    node.policy->OnStatus(transit.from, transit.frame.relay->store_age, behind,
                          now_);
  }

  void Check() const {
    for (const auto& [name, node] : nodes_) {
      if (!node.replica->synced()) continue;
      RC_ASSERT(node.held == store_.HeldAt(node.replica->revision()));
      const bool undisturbed = now_ - node.fault_ended_at > kBound + 2s;
      if (!undisturbed || store_cuts) continue;
      RC_ASSERT(node.replica->revision() >=
                store_.PositionBefore(now_ - kBound));
    }
  }

  std::mt19937 random_;
  Clock::time_point now_ = Clock::time_point(100s);
  Store store_;
  Instances fleet_;
  std::map<std::string, Node> nodes_;
  std::deque<FrameInTransit> in_transit_;
};

/** Faults of the store that are simulated besides those of instances. */
struct StoreFaults {
  bool cuts = false;      ///< Some instances lose their path to the store.
  bool restores = false;  ///< The store is restored from an older copy.
};

void Simulate(FleetSimulation& sim, StoreFaults faults) {
  sim.store_cuts = faults.cuts;
  const auto fault_steps = 400;
  for (int step = 0; step < fault_steps + 260; ++step) {
    if (sim.RandomBelow(12) == 0) sim.ChangeStore();
    if (step < fault_steps && sim.RandomBelow(25) == 0) {
      Node& node = sim.RandomNode();
      const milliseconds time = kTimeStep * sim.RandomBelow(120);
      if (faults.restores && sim.RandomBelow(3) == 0) sim.RestoreStore();
      switch (sim.RandomBelow(faults.cuts ? 4 : 3)) {
        case 0:
          sim.Freeze(node, time);
          break;
        case 1:
          sim.Restart(node);
          break;
        case 2:
          sim.BreakLinks(node.name);
          break;
        default:
          sim.CutFromStore(node, time);
      }
    }
    sim.Step();
  }
  for (int step = 0; step < 260 && !sim.AllUpToDate(); ++step) sim.Step();
  RC_ASSERT(sim.AllUpToDate());
}

}  // namespace

// Instances freeze and resume, restart and lose their connections while the
// store changes. Each instance always holds the contents of the store at some
// revision, this revision never decreases, and an instance without recent
// faults receives every change within the bound, whatever faults its relays
// had.
TEST_CASE("a change reaches undisturbed instances within its bound") {
  REQUIRE(rc::check("freezes, restarts and resets", [] {
    FleetSimulation sim(*rc::gen::inRange(2, 9),
                        *rc::gen::arbitrary<uint32_t>());
    Simulate(sim, {});
  }));
}

// In addition to the faults of the preceding test, instances, including relays,
// lose only their connection to the store. Once the faults are over, all
// instances hold all changes.
TEST_CASE("after faults of the store all instances are up to date") {
  REQUIRE(rc::check("faults of the store as well", [] {
    FleetSimulation sim(*rc::gen::inRange(2, 9),
                        *rc::gen::arbitrary<uint32_t>());
    Simulate(sim, {.cuts = true, .restores = false});
  }));
}

// Guards against an instance that stays behind when the store is restored from
// an older copy, reverts to an earlier era, or mixes the states of two eras.
TEST_CASE("all instances reach the state of a store restored from a copy") {
  REQUIRE(rc::check("restores among freezes, restarts and resets", [] {
    FleetSimulation sim(*rc::gen::inRange(2, 9),
                        *rc::gen::arbitrary<uint32_t>());
    Simulate(sim, {.cuts = false, .restores = true});
  }));
  REQUIRE(rc::check("restores and instances that lose the store", [] {
    FleetSimulation sim(*rc::gen::inRange(2, 9),
                        *rc::gen::arbitrary<uint32_t>());
    Simulate(sim, {.cuts = true, .restores = true});
  }));
}

// Guards against the cost of a watch per instance, three hundred calls for each
// change: in a fleet without faults only the relays watch the store.
TEST_CASE("in a fleet without faults only the relays watch the store") {
  FleetSimulation sim(60, 7);
  for (int step = 0; step < 200; ++step) sim.Step();
  REQUIRE(sim.WatcherCount() == 4);
}
