#pragma once

#include <chrono>
#include <deque>

#include "turmeric/routing/upstream.h"

namespace turmeric::routing {

/** The fleet-wide bound on retries to one service. */
struct RetryBudgetLimits {
  double ratio = 0;  ///< Retries per request.
  double slack = 0;  ///< Retries per window in addition to the ratio.
  std::chrono::milliseconds window{0};  ///< Sliding window.
};

/**
 * One instance's share of the retries that the fleet may send to one service.
 *
 * A credit bucket that starts empty. Each request of this instance adds a part
 * of the ratio. The bucket holds at most this instance's share of the slack,
 * plus the rest of the ratio for its requests of the last window. The credit
 * spent in a window is therefore at most the content of the buckets at the
 * start of the window, which earlier requests and the slack account for, plus
 * the credit added by the requests of the window. This stays within the fleet's
 * bound even if instances restart, are disconnected or receive the traffic of
 * others. An instance does not need to know how much credit its earlier
 * processes spent.
 */
class RetryAllowance {
 public:
  /** @param credit initial credit, in retries. Nonzero only if no instance can
   * have spent any of the fleet's budget before. */
  explicit RetryAllowance(double credit = 0) : credit_(credit) {}

  /**
   * Adds credit for a request for the service.
   * @param limits the fleet's bound. @param slack_share this instance's share
   *     of the slack, in retries. @param weight 1 for a request; less if
   *     several instances count the same request. @param now when it arrived.
   */
  void OnRequest(const RetryBudgetLimits& limits, double slack_share,
                 double weight, Clock::time_point now);
  /**
   * @param limits the fleet's bound. @param slack_share this instance's share
   *     of the slack, in retries. @param now current time. @param retries to
   *     send.
   * @return true, and takes their credit, if they may all be sent now.
   */
  bool TrySpend(const RetryBudgetLimits& limits, double slack_share,
                Clock::time_point now, int retries = 1);

  /** @return the credit, in retries. */
  double credit() const { return credit_; }
  /** @return requests kept because they are within the window. */
  size_t requests_in_window() const { return requests_.size(); }

 private:
  struct CountedRequest {
    Clock::time_point at;
    double weight = 0;
  };

  /** Drops requests from before the window, and the credit above the capacity
   * that the remaining requests and the slack allow. */
  void DropExpired(const RetryBudgetLimits& limits, double slack_share,
                   Clock::time_point now);

  std::deque<CountedRequest> requests_;
  double recent_weight_ = 0;  ///< Sum of the weights in `requests_`.
  double credit_;
};

}  // namespace turmeric::routing
