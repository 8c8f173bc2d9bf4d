#pragma once

#include <chrono>

namespace turmeric::store {

/**
 * How long to wait before calling a store again that has not answered.
 *
 * The time between two calls grows with each failure; it counts from the
 * failed call's start. A store that refuses at once is so called as rarely as
 * one that is silent, and one that is silent is called again soon after the
 * call is given up: an instance that was cut off hears of its upstreams again
 * within a second of its return.
 *
 * @param failures failed calls in a row, from 1.
 * @param call_took how long the last of them took.
 * @param spread factor from 0.6 to 1.2 on the time between calls, drawn anew
 *     for each call so that a fleet does not return in step.
 * @return the pause from now.
 */
std::chrono::milliseconds PauseAfterFailure(int failures,
                                            std::chrono::milliseconds call_took,
                                            double spread);

}  // namespace turmeric::store
