#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>

#include "limit_fleet_simulation.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::entry::test::LimitFaults;
using turmeric::entry::test::LimitFleetSimulation;
using turmeric::entry::test::LimitScenario;

namespace {

/** The platform's tolerance: one and a half times what the limit allows in 4 s,
 * plus five requests. */
int AllowedIn4s(double per_s) { return static_cast<int>(1.5 * per_s * 4 + 5); }

/** Demand that is several times what the limits allow, and enough for each
 * instance of a large fleet to receive the limits in an answer. */
double HighDemand(const LimitScenario& scenario) {
  return std::max(scenario.upstreams * (3 * scenario.per_s + 4),
                  0.8 * scenario.instances);
}

constexpr LimitFaults kManyFaults{
    .restart = 60, .freeze = 150, .cut = 200, .pair_cut = 100, .join = 900};

}  // namespace

// Guards against instances that each keep to a limit, or do not know it, while
// their sum exceeds the rate that an upstream in need has stated.
TEST_CASE("a fleet keeps the rate limit that an upstream states") {
  for (const int instances : {1, 2, 3, 8, 20, 100, 300}) {
    for (const double per_s : {0.25, 1.0, 2.5, 12.0}) {
      LimitScenario scenario{.seed = static_cast<uint32_t>(instances),
                             .instances = instances,
                             .per_s = per_s};
      scenario.demand = HighDemand(scenario);
      LimitFleetSimulation fleet(scenario);
      fleet.Run(24s);
      CAPTURE(instances, per_s);
      CHECK(fleet.MaxArrivals() <= AllowedIn4s(per_s));
    }
  }
}

// Guards against instances that exceed a stated limit after restarts, joins,
// freezes, or while they cannot reach each other.
TEST_CASE("a fleet under faults keeps the rate limit that an upstream states") {
  for (uint32_t seed = 1; seed <= 40; ++seed) {
    LimitScenario scenario{.seed = seed, .faults = kManyFaults};
    scenario.instances = 2 + static_cast<int>(seed % 5) * 12;
    scenario.per_s = seed % 3 == 0 ? 0.25 : seed % 3 == 1 ? 1 : 6;
    scenario.limited = 1 + static_cast<int>(seed % 4);
    scenario.demand = HighDemand(scenario);
    LimitFleetSimulation fleet(scenario);
    fleet.Run(40s);
    CAPTURE(seed, scenario.instances, scenario.per_s);
    CHECK(fleet.MaxArrivals() <= AllowedIn4s(scenario.per_s));
  }
}

// Guards against a fleet that keeps a limit by leaving the upstream idle.
TEST_CASE("a fleet uses what the upstreams of a service allow") {
  for (const int instances : {1, 3, 8, 60}) {
    for (const double per_s : {1.0, 4.0, 20.0}) {
      LimitScenario scenario{.seed = static_cast<uint32_t>(instances),
                             .instances = instances,
                             .limited = 4,
                             .per_s = per_s};
      scenario.demand = HighDemand(scenario);
      LimitFleetSimulation fleet(scenario);
      fleet.Run(32s);
      CAPTURE(instances, per_s, fleet.result().served, fleet.result().refused);
      CHECK(fleet.MaxArrivals() <= AllowedIn4s(per_s));
      CHECK(fleet.LeastRate(12s, 32s) >= 0.7 * per_s);
      CHECK(fleet.result().overdue == 0);
      CHECK(fleet.result().refused > 0);
    }
  }
}

// Guards against requests that are refused for the limits of some upstreams
// although others could take them.
TEST_CASE("requests that others can take are not refused for a limit") {
  for (const int instances : {1, 8, 60}) {
    LimitScenario scenario{.seed = 7, .instances = instances, .limited = 3};
    scenario.demand = HighDemand(scenario);
    LimitFleetSimulation fleet(scenario);
    fleet.Run(20s);
    CAPTURE(instances);
    CHECK(fleet.result().refused == 0);
    CHECK(fleet.result().overdue == 0);
  }
}

// Guards against a limit that stays in force after the upstream no longer
// states it, because it receives too few requests to say so.
TEST_CASE("a limit ends when the upstream no longer states it") {
  for (const int instances : {1, 8, 60}) {
    for (const double per_s : {0.0, 0.25, 2.0}) {
      LimitScenario scenario{.seed = 3,
                             .instances = instances,
                             .limited = 4,
                             .per_s = per_s,
                             .demand = 60,
                             .limit_ends = 20s};
      LimitFleetSimulation fleet(scenario);
      fleet.Run(45s);
      CAPTURE(instances, per_s);
      CHECK(fleet.MaxArrivals() <= AllowedIn4s(per_s));
      CHECK(fleet.LeastRate(33s, 45s) >= 5);
    }
  }
}

// Guards against a simulated load that is too low for the tests above to detect
// a missing limit.
TEST_CASE("without permits the same load exceeds the rate limit") {
  for (const int instances : {1, 2, 3, 8, 20, 100, 300}) {
    for (const double per_s : {0.25, 1.0, 2.5, 12.0}) {
      LimitScenario scenario{.seed = static_cast<uint32_t>(instances),
                             .instances = instances,
                             .per_s = per_s};
      scenario.demand = HighDemand(scenario);
      scenario.enforced = false;
      LimitFleetSimulation fleet(scenario);
      fleet.Run(24s);
      CAPTURE(instances, per_s);
      CHECK(fleet.MaxArrivals() > 2 * AllowedIn4s(per_s));
    }
  }
}
