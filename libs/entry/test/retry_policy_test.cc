#include "turmeric/entry/retry_policy.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::entry::MayRepeat;
using turmeric::entry::Repeat;
using turmeric::entry::RepeatState;
using turmeric::entry::SendEnd;

namespace {

RepeatState After(SendEnd end) {
  return {.end = end,
          .caller_waits = true,
          .left = 1s,
          .reached = 1,
          .max_sends = 1,
          .tried = 1};
}

}  // namespace

// Story: several upstreams of a service crash at once. A request that finds no
// connection at the first was counted as a repeat at the second; the budget
// was soon used up, and callers were refused though upstreams had room.
TEST_CASE("what no upstream received is tried at the next one for nothing") {
  RepeatState state = After(SendEnd::kUnreached);
  REQUIRE(MayRepeat(state) == Repeat::kFree);
  state.tried = 6;
  REQUIRE(MayRepeat(state) == Repeat::kNo);
}

TEST_CASE("what did not run spends from the budget, whatever the route") {
  REQUIRE(MayRepeat(After(SendEnd::kNotRun)) == Repeat::kFromBudget);
}

TEST_CASE("what may have run is sent as often as the route allows") {
  RepeatState state = After(SendEnd::kMayHaveRun);
  REQUIRE(MayRepeat(state) == Repeat::kNo);
  state.max_sends = 2;
  REQUIRE(MayRepeat(state) == Repeat::kFromBudget);
}

TEST_CASE("nothing is sent again without time or a caller") {
  for (const SendEnd end :
       {SendEnd::kUnreached, SendEnd::kNotRun, SendEnd::kMayHaveRun}) {
    RepeatState state = After(end);
    state.max_sends = 3;
    state.left = 40ms;
    REQUIRE(MayRepeat(state) == Repeat::kNo);
    state.left = 1s;
    state.caller_waits = false;
    REQUIRE(MayRepeat(state) == Repeat::kNo);
  }
}
