#include "turmeric/entry/retry_after.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::entry::ComeBack;
using turmeric::entry::ComeBackAfter;

TEST_CASE("the longer the cause lasts, the later callers return") {
  REQUIRE(ComeBackAfter(ComeBack::kAtOnce, 0.999) <
          ComeBackAfter(ComeBack::kSoon, 0));
  REQUIRE(ComeBackAfter(ComeBack::kSoon, 0.999) <
          ComeBackAfter(ComeBack::kLater, 0));
}

// Story: a queue is full and a hundred callers are refused within some
// milliseconds. Told the same pause, they all return in one instant and are
// refused again.
TEST_CASE("the refused return spread over half of the pause") {
  REQUIRE(ComeBackAfter(ComeBack::kLater, 0.0) == 375ms);
  REQUIRE(ComeBackAfter(ComeBack::kLater, 0.5) == 500ms);
  REQUIRE(ComeBackAfter(ComeBack::kLater, 0.9999) > 620ms);
}

// Story: a burst of five seconds is on. Callers that are refused return after
// half a second, into the same burst, and are refused for good.
TEST_CASE("who is refused by an overload stays away for longer") {
  REQUIRE(ComeBackAfter(ComeBack::kLater, 0.999) <
          ComeBackAfter(ComeBack::kAfterOverload, 0));
  REQUIRE(ComeBackAfter(ComeBack::kAfterOverload, 0.999) < 2000ms);
}

// Guards against callers that spend their only return while the store of an
// instance that has just started is still away.
TEST_CASE("who is refused in an outage of the store stays away for longer") {
  REQUIRE(ComeBackAfter(ComeBack::kAfterOutage, 0) >= 1500ms);
  REQUIRE(ComeBackAfter(ComeBack::kAfterOutage, 0.999) < 2500ms);
}

TEST_CASE("a pause is never zero: that would mean none was told") {
  REQUIRE(rc::check([] {
    const double draw = *rc::gen::inRange(0, 10000) / 10000.0;
    RC_ASSERT(ComeBackAfter(ComeBack::kAtOnce, draw) >= 7ms);
  }));
}
