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
