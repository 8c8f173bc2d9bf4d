#pragma once

#include <string>
#include <unordered_map>

#include "turmeric/routing/fleet_size.h"
#include "turmeric/routing/retry_allowance.h"

namespace turmeric::entry {

/** This instance's share of every service's retry budget. */
class RetryBudgets {
 public:
  /** @param limits the fleet-wide bound on one service. @param first_start
   * the whole fleet starts for the first time, and this instance with it. */
  explicit RetryBudgets(routing::RetryBudgetLimits limits,
                        bool first_start = false)
      : limits_(limits), first_start_(first_start), fleet_(first_start) {}
  /** @param limits the fleet-wide bound on one service. */
  void set_limits(routing::RetryBudgetLimits limits) { limits_ = limits; }
  /** The fleet's list was read. @param list what it says. @param now the
   * time. */
  void NoteList(routing::FleetList list, routing::Clock::time_point now) {
    fleet_.NoteList(list, now);
  }
  /** This instance is the only one, by its settings. */
  void SetAlone() { fleet_.SetSingleInstance(); }
  /** @return instances in the fleet's list, this one included; 0: not read. */
  int listed_instances() const { return fleet_.listed(); }
  /** @param service a request for it arrived. @param now the time. @param
   * weight less than 1 where several instances count the same one. */
  void OnRequest(const std::string& service, routing::Clock::time_point now,
                 double weight = 1) {
    AllowanceOf(service, now).OnRequest(limits_, SlackShare(now), weight, now);
  }
  /** @return true, and takes their credit, if repeats may be sent.
   * @param service where to. @param now the time. @param repeats how many. */
  bool TrySpend(const std::string& service, routing::Clock::time_point now,
                int repeats = 1) {
    return AllowanceOf(service, now)
        .TrySpend(limits_, SlackShare(now), now, repeats);
  }
  /** @param service one of them. @return repeats that its credit pays for. */
  double credit(const std::string& service) const {
    const auto it = by_service_.find(service);
    return it == by_service_.end() ? 0 : it->second.credit();
  }
  /** @param now the time. @return this instance's part of the slack. */
  double SlackShare(routing::Clock::time_point now) const {
    if (const auto parts = fleet_.Divisor(now)) return limits_.slack / *parts;
    // Enough for one repeat at a time, where twice the fleet could have it.
    const auto fleet = fleet_.SettledSize(now);
    const bool is_ample = fleet && limits_.slack >= 2 * kLeastShare * *fleet;
    return is_ample ? kLeastShare : 0;
  }

 private:
  /** Part of the slack of an instance that does not know the fleet yet. */
  static constexpr double kLeastShare = 1.2;

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
