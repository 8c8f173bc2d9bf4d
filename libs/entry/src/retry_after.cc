#include "turmeric/entry/retry_after.h"

#include <cstdint>

namespace turmeric::entry {

using std::chrono::milliseconds;

namespace {

/** One turn of an event loop and the way there. */
constexpr milliseconds kAtOnce{10};
/** Half a stage call, or two plain requests. */
constexpr milliseconds kSoon{150};
/** The first ejection of a failing upstream ends by then. */
constexpr milliseconds kLater{500};
/** An overload lasts seconds, and a caller that returns into it is refused
 * again. It can no longer meet its target either way; so it returns once, with
 * most of its time still left. */
constexpr milliseconds kAfterOverload{1500};
/** An outage of the store lasts seconds too; the platform's callers wait for a
 * third of their time at most, whatever they are told. */
constexpr milliseconds kAfterOutage{2000};
/** Part by which a pause is shortened or lengthened at most. */
constexpr double kSpread = 0.25;

milliseconds Pause(ComeBack when) {
  switch (when) {
    case ComeBack::kAtOnce:
      return kAtOnce;
    case ComeBack::kSoon:
      return kSoon;
    case ComeBack::kAfterOverload:
      return kAfterOverload;
    case ComeBack::kAfterOutage:
      return kAfterOutage;
    case ComeBack::kLater:
      return kLater;
  }
  return kLater;
}

}  // namespace

milliseconds ComeBackAfter(ComeBack when, double draw) {
  const double factor = 1 + kSpread * (2 * draw - 1);
  return milliseconds(
      static_cast<int64_t>(static_cast<double>(Pause(when).count()) * factor));
}

}  // namespace turmeric::entry
