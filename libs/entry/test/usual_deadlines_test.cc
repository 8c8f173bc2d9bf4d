#include "turmeric/entry/usual_deadlines.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::entry::UsualDeadlines;

namespace {

const UsualDeadlines::Clock::time_point kNow =
    UsualDeadlines::Clock::time_point(100s);

}  // namespace

// Story: in a burst a caller is refused after 900 ms, pauses, and returns with
// 4.8 of its 6 seconds left. Taken for new, it is served before callers that
// can still be in time, gets its answer after its target all the same, and
// makes one of them late.
TEST_CASE("a caller that returns has used a part of its time") {
  UsualDeadlines deadlines;
  REQUIRE(deadlines.Used("digest", 6000ms, kNow) == 0ms);
  REQUIRE(deadlines.Used("digest", 4800ms, kNow + 1s) == 1200ms);
  REQUIRE(deadlines.Used("digest", 5990ms, kNow + 1s) == 0ms);
  REQUIRE(deadlines.Used("chat", 5000ms, kNow + 1s) == 0ms);
}

TEST_CASE("a caller that states nothing counts as new") {
  UsualDeadlines deadlines;
  REQUIRE(deadlines.Used("digest", 6000ms, kNow) == 0ms);
  REQUIRE(deadlines.Used("digest", std::nullopt, kNow) == 0ms);
}

// Story: the callers of a route are given shorter deadlines from now on. If
// the old ones counted for ever, all would be taken for returning callers.
TEST_CASE("what was usual before is forgotten") {
  UsualDeadlines deadlines;
  REQUIRE(deadlines.Used("digest", 6000ms, kNow) == 0ms);
  REQUIRE(deadlines.Used("digest", 3000ms, kNow + 5s) == 3000ms);
  REQUIRE(deadlines.Used("digest", 3000ms, kNow + 11s) == 3000ms);
  REQUIRE(deadlines.Used("digest", 3000ms, kNow + 22s) == 0ms);
}
