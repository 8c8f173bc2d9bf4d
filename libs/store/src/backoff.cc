#include "turmeric/store/backoff.h"

#include <algorithm>
#include <cstdint>

namespace turmeric::store {

using std::chrono::milliseconds;

namespace {

/** Interval between the starts of the first two calls; it doubles with each
 * failure up to kMaxInterval. With kMaxInterval, a call that times out after
 * 400 ms and the delay before the next one take at most 600 ms together. An
 * instance that was cut off thus receives the removal of an upstream within
 * 2.6 s of the end of the cut, before the instance counts as well connected
 * again (3 s on the platform). */
constexpr milliseconds kInitialInterval{100};
constexpr milliseconds kMaxInterval{500};
constexpr int kMaxDoublings = 4;
/** Smallest delay, so that a call that took its whole interval is not retried
 * in the same turn of the event loop. */
constexpr milliseconds kMinDelay{50};

}  // namespace

milliseconds RetryDelay(int failures, milliseconds call_duration,
                        double jitter) {
  const int doublings = std::clamp(failures - 1, 0, kMaxDoublings);
  const auto interval =
      std::min(kInitialInterval * (1 << doublings), kMaxInterval);
  const auto jittered_interval = milliseconds(
      static_cast<int64_t>(static_cast<double>(interval.count()) * jitter));
  return std::max(kMinDelay, jittered_interval - call_duration);
}

}  // namespace turmeric::store
