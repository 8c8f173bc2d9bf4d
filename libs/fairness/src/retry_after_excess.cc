#include "turmeric/fairness/retry_after_excess.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace turmeric::fairness {

namespace {

constexpr double kMsForEqualExcess = 500;
constexpr double kMinMs = 200;
/** Callers give up requests after some seconds. */
constexpr double kMaxMs = 5000;

}  // namespace

std::chrono::milliseconds RetryAfterExcess(double demand, double level,
                                           double draw) {
  const double ms =
      level > 0 ? kMsForEqualExcess * (demand / level - 1) : kMaxMs;
  // A comparison with a value that is no number clamps to the lower bound.
  const double base = ms > kMinMs ? std::min(ms, kMaxMs) : kMinMs;
  return std::chrono::milliseconds(
      static_cast<int64_t>(std::lround(base * (1 + draw))));
}

}  // namespace turmeric::fairness
