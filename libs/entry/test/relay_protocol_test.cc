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

constexpr milliseconds kStep{50};
constexpr milliseconds kTick{250};
constexpr milliseconds kBeat{1000};
constexpr milliseconds kAskAgain{1500};
/** Within this a change is known wherever a path to it lives. */
constexpr milliseconds kBound{3500};

/** The store: for each of its eras a log of changes and what it held after
 * each.
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
  /** Comes back from a copy. @param lost changes that it lacks. */
  void ComeBack(size_t lost, Clock::time_point now) {
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
  /** @return what it held at a position. */
  Contents HeldAt(Position at) const {
    Contents contents;
    const auto& era = eras[static_cast<size_t>(EraOf(at))];
    for (const auto& [name, object] :
         era.held[static_cast<size_t>(RevisionOf(at))]) {
      contents[name] = object.content;
    }
    return contents;
  }
  /** @return the newest position that is older than some time. */
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

/** One instance: the real decisions, its connections and the store modelled. */
struct Node {
  std::string name;
  std::unique_ptr<KindReplica> replica;
  std::unique_ptr<FollowPolicy> policy;
  std::unique_ptr<StoreRelay> relay;
  std::map<std::string, Frame> outgoing;  ///< To its followers.
  Store::Contents held;
  Clock::time_point store_heard;
  Clock::time_point frozen_till;
  Clock::time_point store_cut_till;
  Clock::time_point disturbed;  ///< When something last happened to it.
  bool watches = false;
  bool catch_up = false;
  milliseconds phase{0};
};

/** A frame on its way; `to_relay` tells the direction. */
struct Flight {
  Clock::time_point arrives;
  std::string from;
  std::string to;
  bool to_relay = false;
  Frame frame;
};

class World {
 public:
  World(int nodes, uint32_t seed) : random_(seed) {
    for (int i = 0; i < nodes; ++i) {
      const std::string name = "n" + std::to_string(i);
      fleet_[name] = {.address = "10.0.0.1:1",
                      .zone = i % 2 == 0 ? "a" : "b",
                      .cpu_share = 0.1};
    }
    for (const auto& [name, info] : fleet_) Start(name);
  }

  int Draw(int below) {
    return static_cast<int>(random_() % static_cast<uint32_t>(below));
  }
  Node& AnyNode() {
    auto it = nodes_.begin();
    std::advance(it, Draw(static_cast<int>(nodes_.size())));
    return it->second;
  }

  /** One step of time. */
  void Step() {
    now_ += kStep;
    Deliver();
    for (auto& [name, node] : nodes_) {
      if (now_ < node.frozen_till) continue;
      AskStore(node);
      const auto since = now_.time_since_epoch() + node.phase;
      if (since % kTick == 0ms) Decide(node);
      if (since % kAskAgain == 0ms) {
        for (const auto& source : node.policy->sources()) {
          Ask(node, source, false);
        }
      }
      if (since % kBeat == 0ms && node.replica->synced()) {
        node.relay->Beat(StatusOf(node), now_);
      }
      Flush(node);
    }
    Check();
  }
  void ChangeStore() {
    store_.Change(std::string(1, static_cast<char>('a' + Draw(4))),
                  Draw(3) == 0, now_);
  }
  void ReturnStore() { store_.ComeBack(static_cast<size_t>(Draw(12)), now_); }
  void Freeze(Node& node, milliseconds time) {
    node.frozen_till = now_ + time;
    Disturb(node, time);
  }
  void CutFromStore(Node& node, milliseconds time) {
    node.store_cut_till = now_ + time;
    Disturb(node, time);
  }
  void Restart(Node& node) {
    BreakLinks(node.name);
    Start(node.name);
  }
  /** Its connections are reset; what is on the way is lost. */
  void BreakLinks(const std::string& name) {
    std::erase_if(flights_, [&](const Flight& f) {
      return f.from == name || f.to == name;
    });
    for (auto& [other, node] : nodes_) {
      if (other == name) {
        for (const auto& source : node.policy->sources()) {
          node.policy->OnLost(source, now_);
        }
      } else if (node.policy->Asks(name)) {
        node.policy->OnLost(name, now_);
      }
    }
  }
  bool AllCurrent() const {
    return std::ranges::all_of(nodes_, [&](const auto& entry) {
      return entry.second.replica->revision() == store_.position();
    });
  }
  /** Instances that wait at the store. */
  int64_t Watchers() const {
    return std::ranges::count_if(
        nodes_, [](const auto& entry) { return entry.second.watches; });
  }

  bool store_cuts = false;  ///< Instances lose the store alone, too.

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
    node.phase = kStep * Draw(20);
    node.disturbed = now_;
  }
  void Disturb(Node& node, milliseconds time) { node.disturbed = now_ + time; }

  RelayStatus StatusOf(const Node& node) const {
    return {.store_age = node.policy->StoreAge(node.store_heard, now_),
            .outage_ended = std::nullopt,
            .known = {0, node.replica->revision(), 0}};
  }

  void Apply(Node& node, const std::vector<SourceObject>& news) {
    for (const SourceObject& object : news) {
      if (object.deleted) {
        node.held.erase(object.name);
      } else {
        node.held[object.name] = object.spec["content"].toInteger();
      }
    }
  }

  void AskStore(Node& node) {
    if (now_ < node.store_cut_till) return;
    if (!node.replica->synced()) return ListStore(node);
    if (!node.watches && !node.catch_up) return;
    node.catch_up = false;
    node.store_heard = now_;
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
    node.store_heard = now_;
    node.relay->OnMerged(StoreKind::kUpstreams, *changes, StatusOf(node));
  }

  void Decide(Node& node) {
    const auto relays = RelaysOfZone(fleet_, fleet_.at(node.name).zone);
    const bool ranked = std::ranges::count(relays, node.name) > 0;
    const auto decision =
        node.policy->Decide({.preferred = SourcesFor(fleet_, node.name),
                             .is_relay = ranked || node.relay->followers() > 0,
                             .store_heard = node.store_heard},
                            now_);
    node.watches = decision.watch;
    for (const auto& name : decision.ask) Ask(node, name, true);
  }

  void Ask(Node& node, const std::string& source, bool resync) {
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

  void Send(Flight flight) {
    flight.arrives = now_ + kStep * Draw(4);
    // Bytes of one connection do not overtake each other.
    for (const Flight& other : flights_) {
      const bool same = other.from == flight.from && other.to == flight.to &&
                        other.to_relay == flight.to_relay;
      if (same) flight.arrives = std::max(flight.arrives, other.arrives);
    }
    flights_.push_back(std::move(flight));
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
    for (size_t i = 0; i < flights_.size();) {
      Node& to = nodes_.at(flights_[i].to);
      // What reaches a frozen instance waits in its sockets.
      if (flights_[i].arrives > now_ || now_ < to.frozen_till) {
        ++i;
        continue;
      }
      const Flight flight = std::move(flights_[i]);
      flights_.erase(flights_.begin() + static_cast<std::ptrdiff_t>(i));
      flight.to_relay ? OnRequest(to, flight) : OnNews(to, flight);
    }
  }

  void OnRequest(Node& relay, const Flight& flight) {
    if (!relay.replica->synced()) return;
    relay.relay->OnFollow(flight.from, *flight.frame.follow, StatusOf(relay),
                          now_);
  }

  void OnNews(Node& node, const Flight& flight) {
    if (!node.policy->Asks(flight.from)) return;
    for (const auto& changes : flight.frame.store_changes) {
      if (changes.kind != StoreKind::kUpstreams) continue;
      const auto batch = FromWire(changes);
      const auto merged = node.replica->Merge(*batch);
      if (merged.outcome == KindReplica::Outcome::kGap) node.catch_up = true;
      if (merged.outcome != KindReplica::Outcome::kMerged) continue;
      Apply(node, merged.changes);
      node.relay->OnMerged(StoreKind::kUpstreams, *batch, StatusOf(node));
    }
    if (!flight.frame.relay) return;
    const bool behind =
        flight.frame.relay->known.upstreams < node.replica->newest_change();
    node.policy->OnHeard(flight.from, flight.frame.relay->store_age, behind,
                         now_);
  }

  void Check() const {
    for (const auto& [name, node] : nodes_) {
      if (!node.replica->synced()) continue;
      RC_ASSERT(node.held == store_.HeldAt(node.replica->revision()));
      const bool calm = now_ - node.disturbed > kBound + 2s;
      if (!calm || store_cuts) continue;
      RC_ASSERT(node.replica->revision() >=
                store_.PositionBefore(now_ - kBound));
    }
  }

  std::mt19937 random_;
  Clock::time_point now_ = Clock::time_point(100s);
  Store store_;
  Instances fleet_;
  std::map<std::string, Node> nodes_;
  std::deque<Flight> flights_;
};

/** Which faults a play draws besides those of instances. */
struct StoreFaults {
  bool cuts = false;     ///< Instances lose the store alone.
  bool returns = false;  ///< It comes back from an older copy.
};

void Play(World& world, StoreFaults faults) {
  world.store_cuts = faults.cuts;
  const auto faults_end = 400;
  for (int step = 0; step < faults_end + 260; ++step) {
    if (world.Draw(12) == 0) world.ChangeStore();
    if (step < faults_end && world.Draw(25) == 0) {
      Node& node = world.AnyNode();
      const milliseconds time = kStep * world.Draw(120);
      if (faults.returns && world.Draw(3) == 0) world.ReturnStore();
      switch (world.Draw(faults.cuts ? 4 : 3)) {
        case 0:
          world.Freeze(node, time);
          break;
        case 1:
          world.Restart(node);
          break;
        case 2:
          world.BreakLinks(node.name);
          break;
        default:
          world.CutFromStore(node, time);
      }
    }
    world.Step();
  }
  for (int step = 0; step < 260 && !world.AllCurrent(); ++step) world.Step();
  RC_ASSERT(world.AllCurrent());
}

}  // namespace

// Instances freeze and wake, restart and lose their connections while the
// store changes: each always holds what the store held at some revision, that
// revision never goes back, and who is calm for a while knows every change
// within the bound, whatever has happened to its relays.
TEST_CASE("a change reaches who is calm within its bound") {
  REQUIRE(rc::check("freezes, restarts and resets", [] {
    World world(*rc::gen::inRange(2, 9), *rc::gen::arbitrary<uint32_t>());
    Play(world, {});
  }));
}

// The same with instances that lose the store alone, relays among them: once
// the faults are over, everybody knows all changes.
TEST_CASE("after faults of the store, too, everybody is current") {
  REQUIRE(rc::check("faults of the store as well", [] {
    World world(*rc::gen::inRange(2, 9), *rc::gen::arbitrary<uint32_t>());
    Play(world, {.cuts = true, .returns = false});
  }));
}

// Guards against an instance that stays behind when the store comes back from
// an older copy, goes back to an earlier era, or mixes the states of two.
TEST_CASE("a store from older copies: all end at its state, within the bound") {
  REQUIRE(rc::check("returns among freezes, restarts and resets", [] {
    World world(*rc::gen::inRange(2, 9), *rc::gen::arbitrary<uint32_t>());
    Play(world, {.cuts = false, .returns = true});
  }));
  REQUIRE(rc::check("and instances that lose the store", [] {
    World world(*rc::gen::inRange(2, 9), *rc::gen::arbitrary<uint32_t>());
    Play(world, {.cuts = true, .returns = true});
  }));
}

// Story: three hundred instances that wait at the store cost three hundred
// calls a change. In a calm fleet only the relays wait there.
TEST_CASE("in a calm fleet only the relays watch the store") {
  World world(60, 7);
  for (int step = 0; step < 200; ++step) world.Step();
  REQUIRE(world.Watchers() == 4);
}
