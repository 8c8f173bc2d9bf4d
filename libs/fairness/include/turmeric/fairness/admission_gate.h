#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "turmeric/fairness/share_plan.h"

namespace turmeric::fairness {

/** Why a request is refused: its organisation is above its share. */
struct ShareRefusal {
  double demand = 0;    ///< Of the organisation, slot ms per second.
  double level = 0;     ///< See SharePlan.
  double fraction = 0;  ///< See LimitedOrganisation.
  std::chrono::milliseconds plan_age{0};
};

/**
 * Applies a plan at one instance. Each limited organisation has a credit that
 * grows by its fraction with each request; a whole credit admits a request.
 * Random refusals would refuse some organisations with few requests several
 * times in a row.
 */
class AdmissionGate {
 public:
  /** Time for which a plan is valid: five reports may be lost. */
  static constexpr std::chrono::milliseconds kPlanValidity{1000};

  /** @param plan replaces the earlier one. @param now current time. */
  void SetPlan(SharePlan plan, Clock::time_point now);
  /** @param organisation name in the plan. @param now current time.
   * @return nullopt: the request is admitted. */
  std::optional<ShareRefusal> Admit(std::string_view organisation,
                                    Clock::time_point now);
  /** @param now current time. @return true if a plan is valid. */
  bool HasPlan(Clock::time_point now) const;
  /** @param now current time. @return true if a valid plan limits any
   * organisation. */
  bool Limits(Clock::time_point now) const;
  /** @param organisation its name. @return true if the latest plan limits it.
   */
  bool Names(std::string_view organisation) const {
    return limited_.contains(organisation);
  }

 private:
  struct Limit {
    double fraction = 1;
    double demand = 0;
    double credit = 0;
  };

  double level_ = 0;
  std::map<std::string, Limit, std::less<>> limited_;
  std::optional<Clock::time_point> plan_at_;
};

}  // namespace turmeric::fairness
