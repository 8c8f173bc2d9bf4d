#include "turmeric/store/backoff.h"

#include <algorithm>
#include <cstdint>

namespace turmeric::store {

using std::chrono::milliseconds;

namespace {

/** First time between two calls; doubles with each failure up to the longest.
 * With the longest, a call that is given up after 400 ms and the wait for the
 * next take at most 600 ms: an upstream that left while the instance was cut
 * off is then known to have left 2.6 s after the cut, before the instance
 * counts as well connected again (3 s on the platform). */
constexpr milliseconds kFirstPeriod{100};
constexpr milliseconds kLongestPeriod{500};
constexpr int kMostDoublings = 4;
/** Least pause, so that a call that took its whole period is not repeated in
 * the same turn of the event loop. */
constexpr milliseconds kLeastPause{50};

}  // namespace

milliseconds PauseAfterFailure(int failures, milliseconds call_took,
                               double spread) {
  const int doublings = std::clamp(failures - 1, 0, kMostDoublings);
  const auto period = std::min(kFirstPeriod * (1 << doublings), kLongestPeriod);
  const auto spread_period = milliseconds(
      static_cast<int64_t>(static_cast<double>(period.count()) * spread));
  return std::max(kLeastPause, spread_period - call_took);
}

}  // namespace turmeric::store
