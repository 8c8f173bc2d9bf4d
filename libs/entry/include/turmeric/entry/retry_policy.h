#pragma once

#include <chrono>
#include <cstddef>

namespace turmeric::entry {

/** Outcome of the last send of a request. */
enum class SendOutcome {
  kUnreached,  ///< No upstream received it.
  kNotRun,     ///< An upstream stated that it has not run the request.
  kMayHaveRun,
};

/** Input of the decision on a retry. */
struct RetryState {
  SendOutcome outcome = SendOutcome::kMayHaveRun;
  bool connected = true;                   ///< The caller has not disconnected.
  std::chrono::milliseconds time_left{0};  ///< Until the request's time limit.
  int received_sends = 0;                  ///< Sends that an upstream received.
  int max_sends = 1;  ///< Limit of the route if the request may have run.
  size_t tried_upstreams = 0;  ///< Upstreams tried, reached or not.
};

/** Whether a request may be retried. */
enum class RetryDecision {
  kNo,
  kFree,        ///< No upstream received the request; costs no credit.
  kFromBudget,  ///< Allowed if the retry budget has credit left.
};

/**
 * Decides whether a request may be retried. A send that no upstream received
 * costs no retry credit: otherwise a crash of a quarter of the engines uses up
 * the budget within a second, and requests are refused (377 in one day)
 * although the other engines have capacity.
 * @param state see RetryState. Whether a request of this kind may run twice is
 *     not checked here; callers of this function check it.
 * @return whether and at which cost the request may be retried.
 */
RetryDecision DecideRetry(const RetryState& state);

}  // namespace turmeric::entry
