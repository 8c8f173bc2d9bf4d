#include "turmeric/routing/retry_allowance.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::routing::Clock;
using turmeric::routing::RetryAllowance;
using turmeric::routing::RetryBudgetLimits;

namespace {

const Clock::time_point kNow = Clock::time_point(100s);
const RetryBudgetLimits kLimits{.ratio = 0.2, .slack = 50, .window = 10s};

int SpendAll(RetryAllowance& allowance, int instances, Clock::time_point at) {
  int spent = 0;
  while (allowance.TrySpend(kLimits, instances, at)) ++spent;
  return spent;
}

}  // namespace

// Story: an upstream service fails. Every instance repeats what failed, and
// together they send it more than the fleet may. Each keeps to its share.
TEST_CASE("the shares of all instances stay within the fleet's slack") {
  constexpr int kInstances = 7;
  int total = 0;
  for (int i = 0; i < kInstances; ++i) {
    RetryAllowance allowance;
    total += SpendAll(allowance, kInstances, kNow);
  }
  REQUIRE(total <= kLimits.slack);
  REQUIRE(total > 0);
}

TEST_CASE("requests earn repeats, at the ratio") {
  RetryAllowance allowance;
  for (int i = 0; i < 100; ++i) allowance.OnRequest(kLimits.window, kNow);
  const int spent = SpendAll(allowance, 50, kNow);
  REQUIRE(spent <= 100 * kLimits.ratio + 1);
  REQUIRE(spent >= 10);
}

TEST_CASE("repeats are bounded in every window, and free up behind it") {
  RetryAllowance allowance;
  const int first = SpendAll(allowance, 7, kNow);
  REQUIRE(SpendAll(allowance, 7, kNow + 9s) == 0);
  REQUIRE(SpendAll(allowance, 7, kNow + 11s) == first);
}

// Story: a service runs for days without a repeat. What is remembered of its
// requests must not grow until the process is over its memory limit.
TEST_CASE("requests are forgotten once they no longer count") {
  RetryAllowance allowance;
  for (int i = 0; i < 10000; ++i) {
    allowance.OnRequest(kLimits.window, kNow + i * 100ms);
  }
  REQUIRE(allowance.remembered() <= 102);
}
