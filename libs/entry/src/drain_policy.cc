#include "turmeric/entry/drain_policy.h"

namespace turmeric::entry {

using std::chrono::milliseconds;

namespace {

/** Time that nearly all long requests end in: stages, prompt and events. */
constexpr milliseconds kLongRequest{5000};
/** Time that other requests end in, their timeouts included. */
constexpr milliseconds kShortRequest{1500};

}  // namespace

bool TakesWhileStopping(bool is_long, milliseconds since_stop,
                        milliseconds grace) {
  return since_stop + (is_long ? kLongRequest : kShortRequest) < grace;
}

}  // namespace turmeric::entry
