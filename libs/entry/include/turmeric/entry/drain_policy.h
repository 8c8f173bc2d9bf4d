#pragma once

#include <chrono>

namespace turmeric::entry {

/** Deadlines of a planned stop. */
struct StopSchedule {
  /**
   * Time at which each open request receives its final answer, unless the
   * response is a stream that has already begun.
   */
  std::chrono::steady_clock::time_point last_answers;
  /** Time at which the process exits, even with open requests. */
  std::chrono::steady_clock::time_point exit;
};

/**
 * @param began when the stop began.
 * @param grace time from `began` until the process is killed.
 * @return the schedule of the stop.
 */
StopSchedule ScheduleStop(std::chrono::steady_clock::time_point began,
                          std::chrono::milliseconds grace);

/**
 * Decides whether an instance that is stopping accepts a new request. A stream
 * that begins late in the stop would be cut off by the exit of the process; if
 * it is refused at once, the caller receives it whole from another instance.
 * @param is_long true for streams and requests with stages, which take seconds.
 * @param since_stop time since the stop began.
 * @param grace time from the start of the stop until the process is killed.
 * @return true if the request is expected to end before the process exits.
 */
bool AcceptsWhileStopping(bool is_long, std::chrono::milliseconds since_stop,
                          std::chrono::milliseconds grace);

}  // namespace turmeric::entry
