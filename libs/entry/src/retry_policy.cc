#include "turmeric/entry/retry_policy.h"

namespace turmeric::entry {

namespace {

/** Least time left for a repeat to be worth sending. */
constexpr std::chrono::milliseconds kLeastForRepeat{50};
/** Upstreams that one request is tried at without a connection: with half of
 * them gone unnoticed, one request in 64 still finds none. */
constexpr size_t kMostUnreached = 6;

}  // namespace

Repeat MayRepeat(const RepeatState& state) {
  if (!state.caller_waits || state.left < kLeastForRepeat) return Repeat::kNo;
  switch (state.end) {
    case SendEnd::kUnreached:
      return state.tried < kMostUnreached ? Repeat::kFree : Repeat::kNo;
    case SendEnd::kNotRun:
      // Bounded by the service's upstreams, each of which is tried once.
      return Repeat::kFromBudget;
    case SendEnd::kMayHaveRun:
      break;
  }
  return state.reached < state.max_sends ? Repeat::kFromBudget : Repeat::kNo;
}

}  // namespace turmeric::entry
