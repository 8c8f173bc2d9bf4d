#pragma once

#include <chrono>

namespace turmeric::entry {

/** The moments of a planned stop. */
struct StopSchedule {
  /** By then each request has its final answer or a stream that flows. */
  std::chrono::steady_clock::time_point last_answers;
  /** The process ends, whatever is open. */
  std::chrono::steady_clock::time_point exit;
};

/**
 * @param began when the stop began. @param grace time from then to the kill.
 * @return its schedule.
 */
StopSchedule ScheduleStop(std::chrono::steady_clock::time_point began,
                          std::chrono::milliseconds grace);

/**
 * Whether an instance that is stopping takes a request that arrives now. A
 * stream that begins late in the stop would be cut off by its end; refused at
 * once, the caller gets it whole from another instance.
 * @param is_long true for streams and requests with stages, which last for
 *     seconds. @param since_stop time since the stop began.
 * @param grace time from then to the kill.
 * @return true if the request can be expected to end before the process.
 */
bool TakesWhileStopping(bool is_long, std::chrono::milliseconds since_stop,
                        std::chrono::milliseconds grace);

}  // namespace turmeric::entry
