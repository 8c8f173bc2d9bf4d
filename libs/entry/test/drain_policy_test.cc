#include "turmeric/entry/drain_policy.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::entry::TakesWhileStopping;

// Story: an instance got SIGTERM seven seconds ago; a caller's connection is
// still open, and a stream begins on it. A second later the process exits in
// the middle of the stream. Refused at once, the caller goes elsewhere.
TEST_CASE("a stream is not begun shortly before the process ends") {
  REQUIRE_FALSE(TakesWhileStopping(true, 6600ms, 8000ms));
  REQUIRE_FALSE(TakesWhileStopping(true, 3100ms, 8000ms));
}

// A stream that takes five seconds was taken 2.95 s after the signal: it ended
// before the kill, but not before the process, which exits 0.3 s earlier.
TEST_CASE("what is taken ends before the exit, not just before the kill") {
  REQUIRE_FALSE(TakesWhileStopping(true, 2950ms, 8000ms));
}

TEST_CASE("right after the signal everything is taken") {
  REQUIRE(TakesWhileStopping(true, 0ms, 8000ms));
  REQUIRE(TakesWhileStopping(true, 2000ms, 8000ms));
  REQUIRE(TakesWhileStopping(false, 5000ms, 8000ms));
}

TEST_CASE("a short request is taken for longer, but not to the end") {
  REQUIRE_FALSE(TakesWhileStopping(false, 7000ms, 8000ms));
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
