#include "turmeric/entry/retry_policy.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::entry::DecideRetry;
using turmeric::entry::RetryDecision;
using turmeric::entry::RetryState;
using turmeric::entry::SendOutcome;

namespace {

RetryState After(SendOutcome outcome) {
  return {.outcome = outcome,
          .connected = true,
          .time_left = 1s,
          .received_sends = 1,
          .max_sends = 1,
          .tried_upstreams = 1};
}

}  // namespace

// Guards against a retry budget that is used up by connection failures: when
// several upstreams of a service crash together, each request that cannot
// connect to one and goes to the next would spend credit, and requests would be
// refused although other upstreams have capacity.
TEST_CASE("a request that no upstream received is retried at no cost") {
  RetryState state = After(SendOutcome::kUnreached);
  REQUIRE(DecideRetry(state) == RetryDecision::kFree);
  state.tried_upstreams = 6;
  REQUIRE(DecideRetry(state) == RetryDecision::kNo);
}

TEST_CASE(
    "a request that has not run is retried from the budget on any route") {
  REQUIRE(DecideRetry(After(SendOutcome::kNotRun)) ==
          RetryDecision::kFromBudget);
}

TEST_CASE("a request that may have run is sent as often as its route allows") {
  RetryState state = After(SendOutcome::kMayHaveRun);
  REQUIRE(DecideRetry(state) == RetryDecision::kNo);
  state.max_sends = 2;
  REQUIRE(DecideRetry(state) == RetryDecision::kFromBudget);
}

TEST_CASE("no retry without time left or after the caller disconnected") {
  for (const SendOutcome outcome :
       {SendOutcome::kUnreached, SendOutcome::kNotRun,
        SendOutcome::kMayHaveRun}) {
    RetryState state = After(outcome);
    state.max_sends = 3;
    state.time_left = 40ms;
    REQUIRE(DecideRetry(state) == RetryDecision::kNo);
    state.time_left = 1s;
    state.connected = false;
    REQUIRE(DecideRetry(state) == RetryDecision::kNo);
  }
}
