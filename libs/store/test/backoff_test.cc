#include "turmeric/store/backoff.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using turmeric::store::RetryDelay;

// Guards against requests to an upstream that has left. An instance is cut off
// from the store for 12 s, and an upstream is removed just as the cut ends. The
// call in flight times out after 400 ms. If the next call started up to 960 ms
// after the timeout, the instance would receive the removal that late, and
// would then keep the missing upstream for another 2 s: requests would still be
// sent to it 3 s after the removal.
TEST_CASE("a timed-out call is retried soon") {
  constexpr milliseconds kCallTimeout = 400ms;
  for (int failures = 1; failures < 20; ++failures) {
    const milliseconds period =
        kCallTimeout + RetryDelay(failures, kCallTimeout, 1.2);
    REQUIRE(period <= 600ms);
  }
}

// Guards against a fleet that keeps an overloaded store overloaded. The store
// refuses every call at once; without a growing delay it would be called in a
// loop.
TEST_CASE("refused calls are retried with a growing delay") {
  REQUIRE(RetryDelay(1, 0ms, 1.0) == 100ms);
  REQUIRE(RetryDelay(2, 0ms, 1.0) == 200ms);
  REQUIRE(RetryDelay(3, 0ms, 1.0) == 400ms);
  REQUIRE(RetryDelay(4, 0ms, 1.0) == 500ms);
  REQUIRE(RetryDelay(1000, 0ms, 1.0) == 500ms);
}

TEST_CASE("calls are never retried without a delay") {
  REQUIRE(rc::check([] {
    const int failures = *rc::gen::inRange(1, 10000);
    const auto call_duration = milliseconds(*rc::gen::inRange(0, 100000));
    const double jitter = *rc::gen::inRange(60, 121) / 100.0;
    const auto delay = RetryDelay(failures, call_duration, jitter);
    RC_ASSERT(delay >= 50ms);
    RC_ASSERT(delay <= 600ms);
  }));
}
