#pragma once

#include <string>
#include <unordered_map>

#include "turmeric/routing/retry_allowance.h"

namespace turmeric::entry {

/** This instance's share of every service's retry budget. */
class RetryBudgets {
 public:
  /** @param limits the fleet-wide bound on one service. */
  explicit RetryBudgets(routing::RetryBudgetLimits limits) : limits_(limits) {}
  /** @param limits the fleet-wide bound on one service. */
  void set_limits(routing::RetryBudgetLimits limits) { limits_ = limits; }
  /** @param live instances at work, this one included. */
  void set_live_instances(int live) { live_instances_ = live; }
  /** @return instances at work, this one included. */
  int live_instances() const { return live_instances_; }
  /** @param service a request for it arrived. @param now the time. */
  void OnRequest(const std::string& service, routing::Clock::time_point now) {
    by_service_[service].OnRequest(limits_.window, now);
  }
  /** @return true, and counts it, if one more repeat may be sent.
   * @param service where to. @param now the time. */
  bool TrySpend(const std::string& service, routing::Clock::time_point now) {
    return by_service_[service].TrySpend(limits_, live_instances_, now);
  }

 private:
  routing::RetryBudgetLimits limits_;
  int live_instances_ = 1;
  std::unordered_map<std::string, routing::RetryAllowance> by_service_;
};

}  // namespace turmeric::entry
