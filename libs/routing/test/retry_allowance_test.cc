#include "turmeric/routing/retry_allowance.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::routing::Clock;
using turmeric::routing::RetryAllowance;
using turmeric::routing::RetryBudgetLimits;

namespace {

const Clock::time_point kNow = Clock::time_point(100s);
constexpr RetryBudgetLimits kLimits{.ratio = 0.2, .slack = 50, .window = 10s};
constexpr double kNoSlack = 0;

void AddRequests(RetryAllowance& allowance, int requests, double slack_share,
                 Clock::time_point at) {
  for (int i = 0; i < requests; ++i) {
    allowance.OnRequest(kLimits, slack_share, 1, at);
  }
}

int SpendAll(RetryAllowance& allowance, double slack_share,
             Clock::time_point at) {
  int spent = 0;
  while (allowance.TrySpend(kLimits, slack_share, at)) ++spent;
  return spent;
}

}  // namespace

// Guards against instances that together send a failing service more retries
// than the fleet's bound allows.
TEST_CASE("the shares of all instances stay within the fleet's slack") {
  constexpr int kInstances = 7;
  constexpr double kShare = kLimits.slack / kInstances;
  int total = 0;
  for (int i = 0; i < kInstances; ++i) {
    RetryAllowance allowance(kShare);
    total += SpendAll(allowance, kShare, kNow);
  }
  REQUIRE(total <= kLimits.slack);
  REQUIRE(total > 0);
}

TEST_CASE("requests add retry credit at the ratio") {
  RetryAllowance allowance;
  AddRequests(allowance, 100, kLimits.slack / 5, kNow);
  const int spent = SpendAll(allowance, kLimits.slack / 5, kNow);
  REQUIRE(spent <= 100 * kLimits.ratio + 1);
  REQUIRE(spent >= 10);
}

TEST_CASE("retries are bounded per window, and later requests add new credit") {
  constexpr double kShare = kLimits.slack / 7;
  RetryAllowance allowance;
  AddRequests(allowance, 100, kShare, kNow);
  const int first = SpendAll(allowance, kShare, kNow);
  REQUIRE(first > 0);
  REQUIRE(SpendAll(allowance, kShare, kNow + 9s) == 0);
  REQUIRE(SpendAll(allowance, kShare, kNow + 11s) == 0);
  AddRequests(allowance, 100, kShare, kNow + 11s);
  REQUIRE(SpendAll(allowance, kShare, kNow + 11s) == first);
}

// Guards against a process that starts with its share of the budget, which its
// previous process may have spent just before.
TEST_CASE("a process that starts has no credit until its requests add some") {
  RetryAllowance allowance;
  REQUIRE(SpendAll(allowance, kLimits.slack, kNow) == 0);
  AddRequests(allowance, 1, kLimits.slack, kNow);
  REQUIRE(SpendAll(allowance, kLimits.slack, kNow) == 0);
  AddRequests(allowance, 20, kLimits.slack, kNow);
  REQUIRE(SpendAll(allowance, kLimits.slack, kNow) > 0);
}

// Guards against credit that accumulates under high load and is spent at once
// under low load.
TEST_CASE("credit of requests from before the window is dropped") {
  RetryAllowance allowance;
  AddRequests(allowance, 1000, kNoSlack, kNow);
  REQUIRE(SpendAll(allowance, kNoSlack, kNow + 11s) == 0);
}

TEST_CASE("a smaller share of the slack lowers the bucket's capacity") {
  RetryAllowance allowance;
  AddRequests(allowance, 200, 20, kNow);
  // In addition to the slack, a bucket holds a part of the ratio of its
  // requests.
  REQUIRE(SpendAll(allowance, 2, kNow) <= 2 + 200 * kLimits.ratio / 2);
}

// Guards against unbounded memory use: a process that drops old requests only
// when it spends credit keeps every request to a service that needs no retries
// for days.
TEST_CASE("requests from before the window are dropped") {
  RetryAllowance allowance;
  for (int i = 0; i < 10000; ++i) {
    AddRequests(allowance, 1, kNoSlack, kNow + i * 100ms);
  }
  REQUIRE(allowance.requests_in_window() <= 102);
}
