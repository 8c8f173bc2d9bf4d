#include "turmeric/limits/intake_limit.h"

#include <algorithm>
#include <utility>

namespace turmeric::limits {

namespace {

using Seconds = std::chrono::duration<double>;

/** Interval of adjustments; several delays are recorded within it. */
constexpr std::chrono::milliseconds kAdjustInterval{250};
/** Least weight of a new value in a moving average. */
constexpr double kMinWeight = 0.1;
/** Time over which loop delays are averaged, roughly: a long iteration has more
 * weight, as there are fewer of them. */
constexpr double kAverageTimeMs = 300;
/** A single delay counts up to this value, as it may be that of a slow caller.
 */
constexpr double kMaxDelayMs = 2000;
constexpr double kDecrease = 0.75;
/** A delay that is at most this part of the last one is falling. */
constexpr double kFallingFactor = 0.97;
constexpr double kIncrease = 1.08;
constexpr double kMinIncreasePerS = 2;
/** Share of the bound from which it counts as reached. */
constexpr double kUsedShare = 0.8;
/** Multiple of the arrivals at which a bound has no effect. */
constexpr double kIdleFactor = 2;
/** Connections that may be taken at once after a pause. */
constexpr double kMaxBurst = 8;

}  // namespace

void IntakeLimit::OnLoopDelay(std::chrono::milliseconds delay,
                              Clock::time_point now) {
  const double ms = std::min(static_cast<double>(delay.count()), kMaxDelayMs);
  const double weight = std::max(kMinWeight, ms / (ms + kAverageTimeMs));
  loop_ms_ += weight * (ms - loop_ms_);
  has_new_delay_ = true;
  Adjust(now);
}

void IntakeLimit::OnReceiveTime(std::chrono::milliseconds time,
                                Clock::time_point now) {
  const double ms = std::min(static_cast<double>(time.count()), kMaxDelayMs);
  receive_ms_ += kMinWeight * (ms - receive_ms_);
  has_new_delay_ = true;
  Adjust(now);
}

void IntakeLimit::Adjust(Clock::time_point now) {
  const double elapsed_s = Seconds(now - adjusted_at_).count();
  if (now - adjusted_at_ < kAdjustInterval) return;
  const bool is_recent = elapsed_s < 4 * Seconds(kAdjustInterval).count();
  const double taken_per_s = taken_ / elapsed_s;
  const double arrived_per_s = arrived_ / elapsed_s;
  adjusted_at_ = now;
  taken_ = 0;
  arrived_ = 0;
  if (!std::exchange(has_new_delay_, false)) return;
  const bool is_growing = delay_ms() > kFallingFactor * adjusted_delay_ms_;
  adjusted_delay_ms_ = delay_ms();
  if (delay_ms() > static_cast<double>(kHighDelay.count())) {
    if (!is_recent) return;
    // A bound that the arrivals do not reach has no part in the delay.
    if (bounded() && taken_per_s < kUsedShare * per_s_) return;
    // What has queued up before needs time, too.
    if (bounded() && !is_growing) return;
    per_s_ = std::max(kMinPerS, kDecrease * std::min(per_s_, taken_per_s));
  } else if (delay_ms() < static_cast<double>(kLowDelay.count()) && bounded()) {
    per_s_ = per_s_ * kIncrease + kMinIncreasePerS;
    if (per_s_ > std::max(kMinPerS, kIdleFactor * arrived_per_s)) {
      per_s_ = kUnbounded;
    }
  }
}

bool IntakeLimit::Admits(Clock::time_point now) {
  ++arrived_;
  if (bounded()) {
    tokens_ = std::min(kMaxBurst,
                       tokens_ + per_s_ * Seconds(now - refilled_at_).count());
    refilled_at_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
  }
  return true;
}

}  // namespace turmeric::limits
