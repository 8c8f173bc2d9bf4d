#pragma once

#include <string>
#include <unordered_map>

#include "turmeric/routing/fleet_size.h"
#include "turmeric/routing/retry_allowance.h"

namespace turmeric::entry {

/** Retry budgets of all services: the share of this instance in each. */
class RetryBudgets {
 public:
  /** @param limits the fleet-wide bound on one service. @param first_start
   * true if the whole fleet, this instance included, starts for the first
   * time. */
  explicit RetryBudgets(routing::RetryBudgetLimits limits,
                        bool first_start = false)
      : limits_(limits), first_start_(first_start), fleet_(first_start) {}
  /** @param limits the fleet-wide bound on one service. */
  void set_limits(routing::RetryBudgetLimits limits) { limits_ = limits; }
  /** Updates the fleet size. @param list the fleet's list as read.
   * @param now current time. */
  void OnFleetList(routing::FleetList list, routing::Clock::time_point now) {
    fleet_.NoteList(list, now);
  }
  /** Sets that this instance is the only one, by its settings. */
  void SetSingleInstance() { fleet_.SetSingleInstance(); }
  /** @return instances in the fleet's list, including this one; 0: the list
   * has not been read. */
  int listed_instances() const { return fleet_.listed(); }
  /** @return see FleetSize::largest_listed. */
  int largest_listed() const { return fleet_.largest_listed(); }
  /** Earns credit for a request. @param service the service requested.
   * @param now current time. @param weight less than 1 if several instances
   * count the same request. */
  void OnRequest(const std::string& service, routing::Clock::time_point now,
                 double weight = 1) {
    AllowanceOf(service, now).OnRequest(limits_, SlackShare(now), weight, now);
  }
  /** Spends the credit of retries if enough is left.
   * @param service the service called. @param now current time.
   * @param retries number of retries. @return true if they may be sent. */
  bool TrySpend(const std::string& service, routing::Clock::time_point now,
                int retries = 1) {
    return AllowanceOf(service, now)
        .TrySpend(limits_, SlackShare(now), now, retries);
  }
  /** @param service name of a service. @return its credit, in retries. */
  double credit(const std::string& service) const {
    const auto it = by_service_.find(service);
    return it == by_service_.end() ? 0 : it->second.credit();
  }
  /** @param now current time. @return this instance's share of the slack, in
   * retries. */
  double SlackShare(routing::Clock::time_point now) const {
    if (const auto shares = fleet_.Divisor(now)) return limits_.slack / *shares;
    // The fleet size is not settled: a share for one retry at a time, provided
    // that the slack suffices for twice the number of instances.
    const auto fleet = fleet_.SettledSize(now);
    const bool slack_suffices =
        fleet && limits_.slack >= 2 * kMinShare * *fleet;
    return slack_suffices ? kMinShare : 0;
  }

 private:
  /** Share of the slack, in retries, before the fleet size is settled. */
  static constexpr double kMinShare = 1.2;

  routing::RetryAllowance& AllowanceOf(const std::string& service,
                                       routing::Clock::time_point now) {
    const auto it = by_service_.find(service);
    if (it != by_service_.end()) return it->second;
    return by_service_
        .emplace(service,
                 routing::RetryAllowance(first_start_ ? SlackShare(now) : 0))
        .first->second;
  }

  routing::RetryBudgetLimits limits_;
  bool first_start_;
  routing::FleetSize fleet_;
  std::unordered_map<std::string, routing::RetryAllowance> by_service_;
};

}  // namespace turmeric::entry
