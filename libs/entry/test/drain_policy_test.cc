#include "turmeric/entry/drain_policy.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::entry::AcceptsWhileStopping;

// Guards against a stream that is cut off: it begins on a caller's open
// connection seven seconds after SIGTERM, and a second later the process exits.
// If it is refused at once, the caller sends the request to another instance.
TEST_CASE("a stream is not begun shortly before the process ends") {
  REQUIRE_FALSE(AcceptsWhileStopping(true, 6600ms, 8000ms));
  REQUIRE_FALSE(AcceptsWhileStopping(true, 3100ms, 8000ms));
}

// Guards against a margin that ignores the exit of the process, 0.3 s before
// the kill: a stream of five seconds that begins 2.95 s after the signal ends
// before the kill, but not before the exit.
TEST_CASE("an accepted request ends before the exit, not just the kill") {
  REQUIRE_FALSE(AcceptsWhileStopping(true, 2950ms, 8000ms));
}

TEST_CASE("right after the signal all requests are accepted") {
  REQUIRE(AcceptsWhileStopping(true, 0ms, 8000ms));
  REQUIRE(AcceptsWhileStopping(true, 2000ms, 8000ms));
  REQUIRE(AcceptsWhileStopping(false, 5000ms, 8000ms));
}

TEST_CASE("a short request is accepted longer, but not until the exit") {
  REQUIRE_FALSE(AcceptsWhileStopping(false, 7000ms, 8000ms));
}

TEST_CASE("last answers have time to leave before the process ends") {
  using turmeric::entry::ScheduleStop;
  const std::chrono::steady_clock::time_point began(100s);
  const auto stop = ScheduleStop(began, 8000ms);
  REQUIRE(stop.exit < began + 8000ms);
  REQUIRE(stop.exit >= began + 7500ms);
  REQUIRE(stop.last_answers <= stop.exit - 250ms);
  REQUIRE(stop.last_answers >= began + 7000ms);
}

TEST_CASE("a stop without grace answers and ends at once") {
  using turmeric::entry::ScheduleStop;
  const std::chrono::steady_clock::time_point began(100s);
  const auto stop = ScheduleStop(began, 0ms);
  REQUIRE(stop.last_answers == began);
  REQUIRE(stop.exit == began);
}
