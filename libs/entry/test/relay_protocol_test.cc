#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "relay_fleet_simulation.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using turmeric::entry::FollowPolicy;
using turmeric::entry::test::RelayFleetSimulation;

namespace {

using Node = RelayFleetSimulation::Node;

constexpr milliseconds kStep = RelayFleetSimulation::kStep;
/**
 * Time within which a change is known to every instance that has a working path
 * to the store.
 */
constexpr milliseconds kBound{3500};
constexpr int kFaultSteps = 400;
constexpr int kCalmSteps = 260;

/** Faults of the store that are simulated besides those of instances. */
struct StoreFaults {
  bool cuts = false;      ///< Some instances lose their path to the store.
  bool restores = false;  ///< The store is restored from an older copy.
  bool outages = false;   ///< It is unreachable for all, or loses its history.
};

void DisturbStore(RelayFleetSimulation& sim, StoreFaults faults) {
  if (faults.restores && sim.RandomBelow(3) == 0) sim.RestoreStore();
  if (!faults.outages) return;
  if (sim.RandomBelow(6) == 0) sim.BeginOutage(kStep * sim.RandomBelow(160));
  if (sim.RandomBelow(3) == 0) sim.DropHistory();
}

void DisturbNode(RelayFleetSimulation& sim, StoreFaults faults) {
  Node& node = sim.RandomNode();
  const milliseconds time = kStep * sim.RandomBelow(120);
  switch (sim.RandomBelow(faults.cuts ? 4 : 3)) {
    case 0:
      return sim.Freeze(node, time);
    case 1:
      return sim.Restart(node);
    case 2:
      return sim.BreakLinks(node.name);
    default:
      return sim.CutFromStore(node, time);
  }
}

void Check(const RelayFleetSimulation& sim, StoreFaults faults) {
  RC_ASSERT(sim.AllConsistent());
  RC_ASSERT(
      sim.LateNode(FollowPolicy::kMaxBehind,
                   [](const Node& node) { return node.reaches_store_since; })
          .empty());
  if (faults.cuts || faults.outages) return;
  RC_ASSERT(
      sim.LateNode(kBound,
                   [](const Node& node) { return node.fault_ended_at + 2s; })
          .empty());
}

void Simulate(RelayFleetSimulation& sim, StoreFaults faults) {
  for (int step = 0; step < kFaultSteps + kCalmSteps; ++step) {
    if (sim.RandomBelow(12) == 0) sim.ChangeStore();
    if (step < kFaultSteps && sim.RandomBelow(25) == 0) {
      DisturbStore(sim, faults);
      DisturbNode(sim, faults);
    }
    sim.Step();
    Check(sim, faults);
  }
  for (int step = 0; step < kCalmSteps && !sim.AllUpToDate(); ++step) {
    sim.Step();
    Check(sim, faults);
  }
  RC_ASSERT(sim.AllUpToDate());
}

void SimulateFleet(StoreFaults faults) {
  RelayFleetSimulation sim(*rc::gen::inRange(2, 9),
                           *rc::gen::arbitrary<uint32_t>());
  Simulate(sim, faults);
}

/** @return calls to the store while the fleet runs for a time. */
int64_t CallsWithin(RelayFleetSimulation& sim, milliseconds time) {
  const int64_t before = sim.calls();
  for (milliseconds at{0}; at < time; at += kStep) sim.Step();
  return sim.calls() - before;
}

}  // namespace

// Instances freeze and resume, restart and lose their connections while the
// store changes. Each instance always holds the contents of the store at some
// revision, this revision never decreases, and an instance without recent
// faults receives every change within the bound, whatever faults its relays
// had.
TEST_CASE("a change reaches undisturbed instances within its bound") {
  REQUIRE(rc::check("freezes, restarts and resets", [] { SimulateFleet({}); }));
}

// In addition to the faults of the preceding test, instances, including relays,
// lose only their connection to the store. Once the faults are over, all
// instances hold all changes.
TEST_CASE("after faults of the store all instances are up to date") {
  REQUIRE(rc::check("faults of the store as well",
                    [] { SimulateFleet({.cuts = true}); }));
}

// Guards against an instance that stays behind when the store is restored from
// an older copy, reverts to an earlier era, or mixes the states of two eras.
TEST_CASE("all instances reach the state of a store restored from a copy") {
  REQUIRE(rc::check("restores among freezes, restarts and resets",
                    [] { SimulateFleet({.restores = true}); }));
  REQUIRE(rc::check("restores and instances that lose the store",
                    [] { SimulateFleet({.cuts = true, .restores = true}); }));
}

// Guards against an instance that stays behind the store although it reaches
// it, because it leaves reading to relays or to another kind's probes.
TEST_CASE("outages and lost histories leave no instance behind") {
  REQUIRE(rc::check("outages", [] { SimulateFleet({.outages = true}); }));
  REQUIRE(rc::check("outages, restores and instances that lose the store", [] {
    SimulateFleet({.cuts = true, .restores = true, .outages = true});
  }));
}

// Guards against the cost of a watch per instance, three hundred calls for each
// change: in a fleet without faults only the relays watch the store.
TEST_CASE("in a fleet without faults only the relays watch the store") {
  RelayFleetSimulation sim(60, 7);
  for (int step = 0; step < 200; ++step) sim.Step();
  REQUIRE(sim.WatcherCount() == 4);
}

// Guards against calls of followers that add up with the size of the fleet,
// while nothing changes and while the store is unreachable.
TEST_CASE("the price of following the store is bounded") {
  const int nodes = GENERATE(12, 300);
  const int relays = nodes == 12 ? 4 : 20;
  RelayFleetSimulation sim(nodes, 7);
  CallsWithin(sim, 10s);
  const int64_t quiet = CallsWithin(sim, 60s);
  sim.BeginOutage(20s);
  const int64_t outage = CallsWithin(sim, 20s);
  const int64_t after = CallsWithin(sim, 10s);
  CAPTURE(nodes, quiet, outage, after);
  // Relays watch two kinds for 3 s at a time.
  REQUIRE(quiet <= relays * 2 * 21);
  // Relays probe about twice a second, followers every 3.6 s or less often, and
  // the second kind waits 2 s longer each time.
  REQUIRE(outage <= relays * (20 * 3 + 10) + (nodes - relays) * 10);
  // Each follower reads once more for each kind.
  REQUIRE(after <= relays * 2 * 10 + (nodes - relays) * 2);
}
