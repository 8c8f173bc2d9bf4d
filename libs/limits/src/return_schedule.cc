#include "turmeric/limits/return_schedule.h"

#include <algorithm>

namespace turmeric::limits {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kMinDelay{50};
/** Delays above the maximum are spread over this fraction of it. */
constexpr double kMaxDelaySpread = 0.5;

milliseconds Millis(double ms) {
  return milliseconds(static_cast<int64_t>(ms));
}

}  // namespace

milliseconds ReturnSchedule::Next(double per_s, milliseconds earliest,
                                  double draw, Clock::time_point now) {
  const double interval_ms = 1000 / per_s;
  const auto first = now + std::max(earliest, kMinDelay);
  const auto due = std::max(last_ + Millis(interval_ms), first);
  const double max_ms = static_cast<double>(kMaxDelay.count());
  if (due - now > kMaxDelay) {
    return Millis(max_ms * (1 - kMaxDelaySpread * draw));
  }
  last_ = due;
  const auto delay = std::chrono::duration_cast<milliseconds>(due - now);
  return std::min(delay + Millis(std::min(interval_ms, max_ms) * draw),
                  kMaxDelay);
}

}  // namespace turmeric::limits
