#pragma once

#include "turmeric/limits/clock.h"

namespace turmeric::limits {

/**
 * Spreads the retries of refused callers over the time in which capacity
 * becomes available, so that not all of them return for the same capacity.
 */
class ReturnSchedule {
 public:
  /** Longest delay that a caller is given. */
  static constexpr std::chrono::milliseconds kMaxDelay{8000};

  /**
   * @param per_s requests per second that can be served, above 0.
   * @param earliest delay until capacity is available for the first of them.
   * @param draw uniform random number in [0, 1); spreads the delays of callers
   *     that are refused at different instances.
   * @param now current time.
   * @return delay after which the refused caller may return.
   */
  std::chrono::milliseconds Next(double per_s,
                                 std::chrono::milliseconds earliest,
                                 double draw, Clock::time_point now);

 private:
  /** Time of the latest return that was given out. */
  Clock::time_point last_;
};

}  // namespace turmeric::limits
