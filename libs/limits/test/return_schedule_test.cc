#include "turmeric/limits/return_schedule.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using turmeric::limits::Clock;
using turmeric::limits::ReturnSchedule;

namespace {
constexpr Clock::time_point kStart{1h};
}  // namespace

// Guards against callers that are refused together and return together.
TEST_CASE("refused callers return at the rate that can be served") {
  ReturnSchedule schedule;
  std::vector<milliseconds> delays;
  for (int i = 0; i < 20; ++i) {
    delays.push_back(schedule.Next(4, 100ms, 0, kStart));
  }
  REQUIRE(delays.front() == 100ms);
  for (size_t i = 1; i < delays.size(); ++i) {
    REQUIRE(delays[i] - delays[i - 1] == 250ms);
  }
}

TEST_CASE("a return is not due before capacity is available") {
  ReturnSchedule schedule;
  REQUIRE(schedule.Next(100, 900ms, 0, kStart) == 900ms);
  REQUIRE(schedule.Next(100, 2s, 0, kStart) == 2s);
}

TEST_CASE("delays above the maximum are spread below it") {
  ReturnSchedule schedule;
  for (int i = 0; i < 9; ++i) schedule.Next(1, 0ms, 0, kStart);
  for (const double draw : {0.0, 0.5, 0.99}) {
    const auto delay = schedule.Next(1, 0ms, draw, kStart);
    REQUIRE(delay <= ReturnSchedule::kMaxDelay);
    REQUIRE(delay >= ReturnSchedule::kMaxDelay / 2);
  }
}
