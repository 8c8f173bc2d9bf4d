#include "turmeric/entry/drain_policy.h"

#include <algorithm>

namespace turmeric::entry {

using std::chrono::milliseconds;

namespace {

/**
 * Duration within which nearly all long requests end, including stages, prompt
 * and events.
 */
constexpr milliseconds kLongRequestDuration{5000};
/** Duration within which other requests end, including their timeouts. */
constexpr milliseconds kShortRequestDuration{1500};
/** Part of the stop grace reserved for the exit of the process. */
constexpr milliseconds kExitMargin{300};
/**
 * Time for a last answer to reach its caller; covers one lost packet, which is
 * retransmitted after some 200 ms.
 */
constexpr milliseconds kAnswerTransit{300};

}  // namespace

StopSchedule ScheduleStop(std::chrono::steady_clock::time_point began,
                          milliseconds grace) {
  const auto exit = began + std::max(milliseconds(0), grace - kExitMargin);
  return {.last_answers = std::max(began, exit - kAnswerTransit), .exit = exit};
}

bool AcceptsWhileStopping(bool is_long, milliseconds since_stop,
                          milliseconds grace) {
  return since_stop + (is_long ? kLongRequestDuration : kShortRequestDuration) <
         grace - kExitMargin;
}

}  // namespace turmeric::entry
