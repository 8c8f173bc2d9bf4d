#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/fairness/demand_report.h"

namespace turmeric::fairness {

/**
 * Work per organisation and second, as a rate with exponential decay. The time
 * constant of 1 s follows a crowd within a second, and its error for an
 * organisation with 12 requests per second is a fifth. The rates of a meter
 * that has just begun are those over its age, so that a crowd that begins with
 * it is not taken for a part of itself.
 */
class WorkMeter {
 public:
  /** Most organisations that are metered one by one. */
  static constexpr size_t kMaxOrganisations = 4096;

  /** @param organisation of the work. @param work in slot milliseconds.
   * @param now current time. */
  void Add(std::string_view organisation, double work, Clock::time_point now);
  /** @param organisation its name. @param now current time. @return its rate in
   * slot milliseconds per second. */
  double Rate(std::string_view organisation, Clock::time_point now) const;
  /**
   * Drops the organisations whose rate is negligible.
   * @param count most organisations returned one by one. @param now current
   *     time.
   * @return the demands, the largest first; those beyond `count` are added up
   *     under kOtherOrganisations, which then is the last one.
   */
  std::vector<OrganisationDemand> Largest(size_t count, Clock::time_point now);
  /** @param now current time. @return true if all rates are negligible. */
  bool IsIdle(Clock::time_point now) const;
  /** @return the number of organisations that hold memory. */
  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    double per_s = 0;
    Clock::time_point at;  ///< Time of the last addition.
  };

  /** @return what the decayed rates are multiplied by: the decay counts time
   * before the first addition as time without work. */
  double CorrectionForAge(Clock::time_point now) const;

  std::map<std::string, Entry, std::less<>> entries_;
  Clock::time_point began_;  ///< Time of the first addition.
  Clock::time_point last_;   ///< Time of the last addition.
};

}  // namespace turmeric::fairness
