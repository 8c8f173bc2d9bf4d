#include "turmeric/entry/drain_policy.h"

#include <algorithm>

namespace turmeric::entry {

using std::chrono::milliseconds;

namespace {

/** Time that nearly all long requests end in: stages, prompt and events. */
constexpr milliseconds kLongRequest{5000};
/** Time that other requests end in, their timeouts included. */
constexpr milliseconds kShortRequest{1500};
/** Time kept of the stop grace for the process to exit. */
constexpr milliseconds kExitMargin{300};
/** Time in which a last answer reaches its caller, should one packet be lost
 * and sent again after some 200 ms. */
constexpr milliseconds kLastAnswerTravels{300};

}  // namespace

StopSchedule ScheduleStop(std::chrono::steady_clock::time_point began,
                          milliseconds grace) {
  const auto exit = began + std::max(milliseconds(0), grace - kExitMargin);
  return {.last_answers = std::max(began, exit - kLastAnswerTravels),
          .exit = exit};
}

bool TakesWhileStopping(bool is_long, milliseconds since_stop,
                        milliseconds grace) {
  return since_stop + (is_long ? kLongRequest : kShortRequest) <
         grace - kExitMargin;
}

}  // namespace turmeric::entry
