#pragma once

#include "turmeric/limits/clock.h"

namespace turmeric::limits {

/**
 * The times at which one issuer's permits for an upstream may be used: a
 * generic cell rate algorithm (a token bucket that stores the time of the next
 * token). In any time t, at most 1 + kBurstTime * rate + t * rate permits are
 * used.
 */
class PermitSchedule {
 public:
  /** Time in which unused permits add up, in addition to one permit. */
  static constexpr std::chrono::milliseconds kBurstTime{300};

  /**
   * @param per_s permits per second, above 0.
   * @param first_after time of the first permit from `now`, as a fraction of
   *     the interval between two permits. 1 for a schedule that may replace one
   *     whose last use is not known.
   * @param now current time.
   */
  PermitSchedule(double per_s, double first_after, Clock::time_point now);

  /** @param per_s permits per second, above 0. @param now current time. */
  void SetRate(double per_s, Clock::time_point now);
  /** @param now current time. @return when the next permit may be used. */
  Clock::time_point NextSlot(Clock::time_point now) const;
  /** Takes the permit of NextSlot. @param now current time. */
  void Take(Clock::time_point now);

 private:
  Clock::duration interval() const;
  Clock::duration burst() const;

  double per_s_;
  /** Time up to which permits were taken, plus `burst()`. */
  Clock::time_point full_at_;
};

}  // namespace turmeric::limits
