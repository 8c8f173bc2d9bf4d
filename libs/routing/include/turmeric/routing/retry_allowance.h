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
 * One instance's share of the repeats that the fleet may send to one
 * service in any window. The ratio is earned by the instance's own
 * requests; the slack is divided by the number of live instances. A new
 * instance starts with no ratio earned.
 */
class RetryAllowance {
 public:
  /** @param window how long it counts. @param now when a request for the
   * service arrived. */
  void OnRequest(std::chrono::milliseconds window, Clock::time_point now);
  /**
   * @param limits the fleet's bound. @param live_instances at least 1.
   * @param now the time.
   * @return true, and counts it, if one more repeat may be sent now.
   */
  bool TrySpend(const RetryBudgetLimits& limits, int live_instances,
                Clock::time_point now);

  /** @return requests and repeats remembered. */
  size_t remembered() const { return requests_.size() + repeats_.size(); }

 private:
  void Trim(std::chrono::milliseconds window, Clock::time_point now);

  std::deque<Clock::time_point> requests_;
  std::deque<Clock::time_point> repeats_;
};

}  // namespace turmeric::routing
