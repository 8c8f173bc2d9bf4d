#include "turmeric/store/backoff.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using turmeric::store::PauseAfterFailure;

// Story: an instance is cut off from the store for twelve seconds; an upstream
// begins to leave just as the cut ends. The call that was under way is given
// up 400 ms later, and the next one came up to 960 ms after that. With the two
// seconds for which missing upstreams are kept, a request still reached the
// leaving upstream three seconds after its entry had gone.
TEST_CASE("after a silent call the next one follows soon") {
  constexpr milliseconds kGivenUpAfter = 400ms;
  for (int failures = 1; failures < 20; ++failures) {
    const milliseconds heard_again =
        kGivenUpAfter + PauseAfterFailure(failures, kGivenUpAfter, 1.2);
    REQUIRE(heard_again <= 600ms);
  }
}

// Story: the store refuses every call at once while it is overloaded. Called
// again without a growing pause, a fleet would keep it overloaded.
TEST_CASE("refused calls come at growing distances") {
  REQUIRE(PauseAfterFailure(1, 0ms, 1.0) == 100ms);
  REQUIRE(PauseAfterFailure(2, 0ms, 1.0) == 200ms);
  REQUIRE(PauseAfterFailure(3, 0ms, 1.0) == 400ms);
  REQUIRE(PauseAfterFailure(4, 0ms, 1.0) == 500ms);
  REQUIRE(PauseAfterFailure(1000, 0ms, 1.0) == 500ms);
}

TEST_CASE("calls are never repeated without a pause") {
  REQUIRE(rc::check([] {
    const int failures = *rc::gen::inRange(1, 10000);
    const auto took = milliseconds(*rc::gen::inRange(0, 100000));
    const double spread = *rc::gen::inRange(60, 121) / 100.0;
    const auto pause = PauseAfterFailure(failures, took, spread);
    RC_ASSERT(pause >= 50ms);
    RC_ASSERT(pause <= 600ms);
  }));
}
