#pragma once

#include <chrono>
#include <deque>

#include "turmeric/routing/upstream.h"

namespace turmeric::routing {

/** The fleet-wide bound on repeats to one service. */
struct RetryBudgetLimits {
  double ratio = 0;                     ///< Repeats per request.
  double slack = 0;                     ///< Repeats beyond that, per window.
  std::chrono::milliseconds window{0};  ///< Sliding.
};

/**
 * One instance's share of the repeats that the fleet may send to one service.
 *
 * A bucket of credit that starts empty, is fed by the instance's own requests
 * with a part of the ratio, and holds at most its share of the slack and the
 * rest of the ratio of its requests of the last window. So what is spent in a
 * window is at most what the buckets held when it began, which earlier
 * requests and the slack account for, and what its own requests fed: within
 * the fleet's bound, whoever restarts, is cut off or takes over the traffic of
 * others meanwhile. Nothing has to be known of what an earlier process of this
 * instance has spent.
 */
class RetryAllowance {
 public:
  /** @param credit repeats that it pays for at once. Only where nobody can
   * have spent any of the fleet's before. */
  explicit RetryAllowance(double credit = 0) : credit_(credit) {}

  /**
   * Earns credit for a request for the service.
   * @param limits the fleet's bound. @param slack_share this instance's share
   *     of the slack. @param weight 1 for a request; less where several
   *     instances count the same one. @param now when it arrived.
   */
  void OnRequest(const RetryBudgetLimits& limits, double slack_share,
                 double weight, Clock::time_point now);
  /**
   * @param limits the fleet's bound. @param slack_share this instance's share
   *     of the slack. @param now the time. @param repeats how many.
   * @return true, and takes their credit, if they may all be sent now.
   */
  bool TrySpend(const RetryBudgetLimits& limits, double slack_share,
                Clock::time_point now, int repeats = 1);

  /** @return repeats that the credit pays for. */
  double credit() const { return credit_; }
  /** @return requests remembered. */
  size_t remembered() const { return requests_.size(); }

 private:
  struct Earned {
    Clock::time_point at;
    double weight = 0;
  };

  /** Forgets requests of before the window, and the credit above what they
   * and the slack account for. */
  void Settle(const RetryBudgetLimits& limits, double slack_share,
              Clock::time_point now);

  std::deque<Earned> requests_;
  double recent_weight_ = 0;  ///< Of the requests remembered.
  double credit_;
};

}  // namespace turmeric::routing
