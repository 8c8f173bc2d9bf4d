#include "turmeric/entry/retry_policy.h"

namespace turmeric::entry {

namespace {

/** Least time left for which a retry is worth sending. */
constexpr std::chrono::milliseconds kMinTime{50};
/** Largest number of upstreams tried when none can be reached. If half of the
 * listed upstreams are unreachable, one request in 64 (2^-6) fails. */
constexpr size_t kMaxUnreachedUpstreams = 6;

}  // namespace

RetryDecision DecideRetry(const RetryState& state) {
  if (!state.connected || state.time_left < kMinTime) return RetryDecision::kNo;
  switch (state.outcome) {
    case SendOutcome::kUnreached:
      return state.tried_upstreams < kMaxUnreachedUpstreams
                 ? RetryDecision::kFree
                 : RetryDecision::kNo;
    case SendOutcome::kNotRun:
      // Bounded by the number of upstreams, as each one is tried once.
      return RetryDecision::kFromBudget;
    case SendOutcome::kMayHaveRun:
      break;
  }
  return state.received_sends < state.max_sends ? RetryDecision::kFromBudget
                                                : RetryDecision::kNo;
}

}  // namespace turmeric::entry
