#include <algorithm>
#include <catch2/catch.hpp>

#include "balancing_simulation.h"

using turmeric::balancing::Method;
using turmeric::balancing::Simulate;
using turmeric::balancing::SimulatedLoad;
using turmeric::balancing::SimulatedResult;
using turmeric::balancing::UnevenSpeeds;

namespace {

/** The load of the page. The work of 100 ms on 6 slots is chosen so that the
 * choice of the least loaded serves about as many requests in time as measured
 * on the page (0.718). */
SimulatedLoad UnevenLoad(Method method, uint64_t seed) {
  return {.method = method,
          .speeds = UnevenSpeeds(),
          .slots = 6,
          .work_ms = 100,
          .seed = seed};
}

}  // namespace

// Guards against requests that wait at slow upstreams while fast ones are free.
TEST_CASE("nine of ten requests to uneven upstreams are served in time") {
  for (const uint64_t seed : {1U, 2U, 3U}) {
    const auto before = Simulate(UnevenLoad(Method::kLeastLoaded, seed));
    const auto after = Simulate(UnevenLoad(Method::kExpectedTime, seed));
    CAPTURE(seed, before.in_time, before.p95_ms, after.p50_ms, after.p95_ms);
    CHECK(before.in_time <= 0.80);
    CHECK(after.in_time >= 0.90);
    CHECK(after.p95_ms < before.p95_ms);
  }
}

// Guards against a slow upstream that serves nothing while fast ones are full.
TEST_CASE("no slow upstream is idle while the fast ones are full") {
  const auto result = Simulate(UnevenLoad(Method::kExpectedTime, 1));
  CHECK(result.slow_idle <= 0.01);
  // A twelfth of the requests of a fast one is a quarter of its capacity.
  CHECK(std::ranges::min(result.served) * 12 >=
        std::ranges::max(result.served));
}

// Guards against instances that go on to send to a slowed upstream.
TEST_CASE("few upstreams slowed in turns serve nearly all requests in time") {
  SimulatedLoad load{.instances = 76,
                     .speeds = {1, 1, 1, 1},
                     .slots = 6,
                     .work_ms = 15,
                     .load = 0.5,
                     .seconds = 30};
  CHECK(Simulate(load).in_time >= 0.99);
  load.method = Method::kLeastLoaded;
  CHECK(Simulate(load).in_time <= 0.90);
}

TEST_CASE("uneven upstreams without reports are still told apart") {
  auto load = UnevenLoad(Method::kExpectedTime, 1);
  load.reports = false;
  CHECK(Simulate(load).in_time >= 0.85);
}

// Guards against an upstream that attracts requests by reporting that it is
// idle and fast.
TEST_CASE("an upstream with false reports does not harm the others") {
  auto load = UnevenLoad(Method::kExpectedTime, 1);
  load.false_report = 2;
  CHECK(Simulate(load).in_time >= 0.88);
}

// Guards against many instances that see few answers each and follow the same
// figures.
TEST_CASE("76 instances serve more in time than by the least loaded") {
  auto before = UnevenLoad(Method::kLeastLoaded, 1);
  auto after = UnevenLoad(Method::kExpectedTime, 1);
  before.instances = after.instances = 76;
  CHECK(Simulate(after).in_time >= Simulate(before).in_time + 0.2);
}
