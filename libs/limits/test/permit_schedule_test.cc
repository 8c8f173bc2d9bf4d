#include "turmeric/limits/permit_schedule.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <vector>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using turmeric::limits::Clock;
using turmeric::limits::PermitSchedule;

namespace {

constexpr Clock::time_point kStart{1h};

/** @return the times of the permits that are taken whenever one is available
 * to requests at the given distances. */
std::vector<Clock::time_point> Use(PermitSchedule& schedule,
                                   const std::vector<milliseconds>& distances) {
  std::vector<Clock::time_point> used;
  auto now = kStart;
  for (const milliseconds distance : distances) {
    now += distance;
    if (schedule.NextSlot(now) > now) continue;
    schedule.Take(now);
    used.push_back(now);
  }
  return used;
}

}  // namespace

TEST_CASE("the first permit is due after the given part of an interval") {
  PermitSchedule schedule(0.5, 0.25, kStart);
  REQUIRE(schedule.NextSlot(kStart) == kStart + 500ms);
  schedule.Take(kStart + 500ms);
  REQUIRE(schedule.NextSlot(kStart + 500ms) == kStart + 2500ms);
}

TEST_CASE("a permit that waits reserves its slot") {
  PermitSchedule schedule(1, 1, kStart);
  schedule.Take(kStart);
  REQUIRE(schedule.NextSlot(kStart) == kStart + 2s);
  schedule.Take(kStart);
  REQUIRE(schedule.NextSlot(kStart) == kStart + 3s);
}

TEST_CASE("a new rate scales the wait for the next permit") {
  PermitSchedule schedule(0.1, 1, kStart);
  schedule.SetRate(1, kStart + 5s);
  REQUIRE(schedule.NextSlot(kStart + 5s) == kStart + 5500ms);
  schedule.SetRate(0.1, kStart + 5s);
  REQUIRE(schedule.NextSlot(kStart + 5s) == kStart + 10s);
}

// Guards against unused permits that add up, so that an upstream gets more than
// its rate once requests arrive.
TEST_CASE("permits of any span stay within the rate and one burst") {
  const bool holds = rc::check([] {
    const double per_s = *rc::gen::inRange(1, 400) / 10.0;
    const auto distances =
        *rc::gen::container<std::vector<milliseconds>>(rc::gen::map(
            rc::gen::inRange(0, 900), [](int ms) { return milliseconds(ms); }));
    PermitSchedule schedule(per_s, 1, kStart);
    const auto used = Use(schedule, distances);
    const double burst_s =
        std::chrono::duration<double>(PermitSchedule::kBurstTime).count();
    for (size_t first = 0; first < used.size(); ++first) {
      for (size_t last = first; last < used.size(); ++last) {
        const double span_s =
            std::chrono::duration<double>(used[last] - used[first]).count();
        const double most = 1 + per_s * (span_s + burst_s) + 1e-6;
        RC_ASSERT(static_cast<double>(last - first + 1) <= most);
      }
    }
  });
  REQUIRE(holds);
}
