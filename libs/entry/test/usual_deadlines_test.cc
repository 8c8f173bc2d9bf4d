#include "turmeric/entry/usual_deadlines.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using turmeric::entry::UsualDeadlines;

namespace {

/** Simulates new callers with the same deadline. */
void AddNewCallers(UsualDeadlines& deadlines, milliseconds deadline,
                   int count) {
  for (int i = 0; i < count; ++i) deadlines.TimeUsed("digest", deadline);
}

}  // namespace

// Guards against retrying callers that are treated as new: in a burst a caller
// is refused after 900 ms, pauses, and retries with 4.8 of its 6 seconds left.
// Treated as new, it is served before callers that can still be served in time,
// receives its answer after its target anyway, and makes one of them late.
TEST_CASE("a retrying caller has used a part of its time") {
  UsualDeadlines deadlines;
  AddNewCallers(deadlines, 6000ms, 10);
  REQUIRE(deadlines.TimeUsed("digest", 4800ms) == 1200ms);
  REQUIRE(deadlines.TimeUsed("digest", 5990ms) == 0ms);
  REQUIRE(deadlines.TimeUsed("chat", 4800ms) == 0ms);
}

TEST_CASE("a caller that states no deadline counts as new") {
  UsualDeadlines deadlines;
  AddNewCallers(deadlines, 6000ms, 10);
  REQUIRE(deadlines.TimeUsed("digest", std::nullopt) == 0ms);
}

// Guards against callers of a route with varied deadlines of five to six
// seconds that are treated as retrying: compared with the longest deadline,
// nearly all of them would be, and none would be served before its target.
TEST_CASE("callers whose deadlines differ are all new") {
  UsualDeadlines deadlines;
  int retrying = 0;
  for (int i = 0; i < 900; ++i) {
    const milliseconds stated(5100 + (i * 397) % 900);
    if (deadlines.TimeUsed("digest", stated) > 0ms) ++retrying;
  }
  REQUIRE(retrying < 45);
  REQUIRE(deadlines.TimeUsed("digest", 3500ms) > 1500ms);
}

// Guards against old deadlines that are used forever: after callers of a route
// switch to shorter deadlines, all would be treated as retrying.
TEST_CASE("former deadlines are replaced") {
  UsualDeadlines deadlines;
  AddNewCallers(deadlines, 6000ms, 40);
  REQUIRE(deadlines.TimeUsed("digest", 3000ms) == 3000ms);
  AddNewCallers(deadlines, 3000ms, 32);
  REQUIRE(deadlines.TimeUsed("digest", 3000ms) == 0ms);
}
