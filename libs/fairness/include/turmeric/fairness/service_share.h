#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/fairness/admission_gate.h"
#include "turmeric/fairness/demand_report.h"
#include "turmeric/fairness/work_meter.h"

namespace turmeric::fairness {

/** The capacity of one service, and its equal part for one instance. */
struct CapacityPart {
  int slots = 0;      ///< Of the usable upstreams.
  int instances = 1;  ///< Of the fleet.

  /** @return the equal part of an instance, in slots. */
  double slots_each() const {
    return static_cast<double>(slots) / (instances > 0 ? instances : 1);
  }
};

/**
 * The demand for one service at one instance, and the admission by the plan of
 * the coordinator. Nothing is limited until a plan says so. After a limiting
 * plan has expired without a successor, the instance divides its equal part of
 * the slots by the demand that it sees: without any limit, the overload that
 * the plan had ended would return within a second.
 */
class ServiceShare {
 public:
  /** Interval between two reports. */
  static constexpr std::chrono::milliseconds kReportInterval{200};

  /** Counts the demand of a request; it is in progress if it is admitted.
   * @param organisation of the caller. @param work in slot milliseconds.
   * @param now current time. @return nullopt: the request is admitted. */
  std::optional<ShareRefusal> OnRequest(std::string_view organisation,
                                        double work, Clock::time_point now);
  /** Ends an admitted request.
   * @param work as for OnRequest. @param answered true if an upstream answered
   *     it. @param now current time. */
  void OnEnd(double work, bool answered, Clock::time_point now);
  /** @param plan of the coordinator. @param now current time. */
  void OnPlan(SharePlan plan, Clock::time_point now);
  /** Divides the own part if the coordinator's plan has expired. Called once in
   * each kReportInterval.
   * @param part see CapacityPart. @param now current time. */
  void Update(const CapacityPart& part, Clock::time_point now);
  /** @param part see CapacityPart. @param now current time. @return true if
   * the demand is to be reported: more requests are in progress than the equal
   * part of the slots, or a plan limits an organisation. */
  bool IsUnderPressure(const CapacityPart& part, Clock::time_point now) const;
  /** @param service its name. @param slots of the usable upstreams.
   * @param now current time. @return the report to the coordinator. */
  DemandReport MakeReport(std::string service, int slots,
                          Clock::time_point now);
  /** @param now current time. @return true if the object holds no state that
   * matters. */
  bool IsIdle(Clock::time_point now) const;
  /** @return requests in progress. */
  int in_progress() const { return in_progress_; }

 private:
  std::string_view NameInPlan(std::string_view organisation) const;

  WorkMeter demand_;
  WorkMeter served_;
  AdmissionGate gate_;
  int in_progress_ = 0;
  /** The latest plan limits an organisation. */
  bool was_limited_ = false;
  std::optional<Clock::time_point> plan_at_;  ///< Of the coordinator.
  /** Organisations that the latest report states one by one, sorted; empty if
   * it states all. */
  std::vector<std::string> reported_;
};

}  // namespace turmeric::fairness
