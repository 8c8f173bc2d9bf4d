#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "turmeric/fairness/share_controller.h"
#include "turmeric/fairness/share_plan.h"

namespace turmeric::fairness {

/**
 * Divides the capacity of one service for the whole fleet, at the instance that
 * owns this decision. An organisation may use a single instance, so the demand
 * that one instance sees says little about the competition. All state is
 * rebuilt from the reports of the last second.
 */
class ShareCoordinator {
 public:
  /** Time for which a report counts. */
  static constexpr std::chrono::milliseconds kReportValidity{1000};
  /** Time from the first report to the first plan: two intervals of reports, so
   * that those of all instances have arrived. */
  static constexpr std::chrono::milliseconds kCollection{400};
  /** Most instances whose reports count. */
  static constexpr size_t kMaxInstances = 1024;

  /** Figures that are negative or not finite are dropped, as reports come from
   * other processes.
   * @param instance its name. @param report replaces its earlier one.
   * @param now current time. */
  void OnReport(const std::string& instance, DemandReport report,
                Clock::time_point now);
  /** @param now current time. @return the plan in force; nullptr while the
   * reports are collected. */
  const SharePlan* Plan(Clock::time_point now);
  /** @param now current time. @return true if no report is valid: the object
   * may be dropped. */
  bool IsIdle(Clock::time_point now) const;

 private:
  struct Report {
    DemandReport report;
    Clock::time_point at;
  };

  std::vector<OrganisationDemand> SumDemands() const;
  FleetLoad SumLoad() const;

  std::map<std::string, Report> reports_;
  std::optional<Clock::time_point> first_report_at_;
  ShareController controller_;
  SharePlan plan_;
  std::optional<Clock::time_point> planned_at_;
};

}  // namespace turmeric::fairness
