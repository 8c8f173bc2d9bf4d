#include "turmeric/entry/retry_after.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace turmeric::entry {

using std::chrono::milliseconds;

namespace {

/** One iteration of an event loop plus one network round trip. */
constexpr milliseconds kImmediateDelay{10};
/** Half the duration of a stage call, or two requests without stages. */
constexpr milliseconds kShortDelay{150};
/** Equal to the duration of the first ejection of a failing upstream. */
constexpr milliseconds kLongDelay{500};
/** An overload lasts seconds, and a retry during it is refused too. The request
 * misses its latency target in any case, so it is retried once, after the
 * overload, with most of its time still left. */
constexpr milliseconds kOverloadDelay{1500};
/** An outage of the store lasts seconds too. The platform's callers wait for at
 * most a third of their time, whatever delay they receive. */
constexpr milliseconds kStoreOutageDelay{2000};
/** Largest relative change of a delay, in either direction. */
constexpr double kSpread = 0.25;

milliseconds MeanDelay(RetryAfter when) {
  switch (when) {
    case RetryAfter::kImmediately:
      return kImmediateDelay;
    case RetryAfter::kSoon:
      return kShortDelay;
    case RetryAfter::kAfterOverload:
      return kOverloadDelay;
    case RetryAfter::kAfterStoreOutage:
      return kStoreOutageDelay;
    case RetryAfter::kLater:
      return kLongDelay;
  }
  return kLongDelay;
}

/** Time over which callers return after a known time: a fraction of the time
 * until then, within these bounds. */
constexpr double kReturnSpread = 0.25;
constexpr milliseconds kMinReturnSpread{50};
constexpr milliseconds kMaxReturnSpread{500};

}  // namespace

milliseconds RetryAfterDelay(milliseconds left, double draw) {
  const double spread =
      std::clamp(kReturnSpread * static_cast<double>(left.count()),
                 static_cast<double>(kMinReturnSpread.count()),
                 static_cast<double>(kMaxReturnSpread.count()));
  return left + milliseconds(static_cast<int64_t>(std::ceil(spread * draw)));
}

milliseconds RetryAfterDelay(RetryAfter when, double draw) {
  const double factor = 1 + kSpread * (2 * draw - 1);
  return milliseconds(static_cast<int64_t>(
      static_cast<double>(MeanDelay(when).count()) * factor));
}

}  // namespace turmeric::entry
