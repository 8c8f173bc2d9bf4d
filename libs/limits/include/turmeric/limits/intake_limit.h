#pragma once

#include <algorithm>
#include <chrono>
#include <limits>

#include "turmeric/limits/clock.h"

namespace turmeric::limits {

/**
 * Bounds the rate of new connections that an instance takes to what it can
 * serve. Requests on connections that were taken before queue for the
 * instance's processor and link; while their delay is high, the rate decreases
 * by a factor, and while it is low, the rate increases until there is no bound.
 * The bound never falls to zero. Time is passed in by the caller.
 */
class IntakeLimit {
 public:
  /** Delay above which the rate decreases, and below which it increases. */
  static constexpr std::chrono::milliseconds kHighDelay{250};
  static constexpr std::chrono::milliseconds kLowDelay{100};
  /** Least bound on new connections per second. */
  static constexpr double kMinPerS = 5;

  /** Records the duration of an iteration of the event loop, for which events
   * wait. @param delay the duration. @param now current time. */
  void OnLoopDelay(std::chrono::milliseconds delay, Clock::time_point now);
  /** Records the time from the first byte of a request to its last.
   * @param time see above. @param now current time. */
  void OnReceiveTime(std::chrono::milliseconds time, Clock::time_point now);
  /** Counts a new connection. @param now current time. @return true if it may
   * be taken. */
  bool Admits(Clock::time_point now);
  /** Counts a new connection that is taken regardless of the bound. */
  void OnTaken() { ++taken_; }
  /** @return true while there is a bound. */
  bool bounded() const { return per_s_ < kUnbounded; }
  /** @return bound on new connections per second; infinite: none. */
  double per_s() const { return per_s_; }
  /** @return delay of requests, ms: the larger of the moving averages of loop
   * delays and receive times. */
  double delay_ms() const { return std::max(loop_ms_, receive_ms_); }

 private:
  static constexpr double kUnbounded = std::numeric_limits<double>::infinity();

  void Adjust(Clock::time_point now);

  double loop_ms_ = 0;
  double receive_ms_ = 0;
  double adjusted_delay_ms_ = 0;  ///< At the last adjustment.
  bool has_new_delay_ = false;
  double per_s_ = kUnbounded;
  double tokens_ = 0;
  Clock::time_point refilled_at_;
  Clock::time_point adjusted_at_;
  int taken_ = 0;    ///< Connections since the last adjustment.
  int arrived_ = 0;  ///< Of them and of those left.
};

}  // namespace turmeric::limits
