#pragma once

#include <chrono>

namespace turmeric::store {

/**
 * Computes the delay before the next call to a store that failed to answer.
 *
 * The interval between the starts of two calls grows with each failure. A
 * store that refuses calls at once is thus called as rarely as one that does
 * not answer at all, and the call after a timed-out one follows soon after the
 * timeout: an instance that was cut off from the store receives upstream
 * changes within a second of its reconnection.
 *
 * @param failures number of consecutive failed calls, at least 1.
 * @param call_duration duration of the last failed call.
 * @param jitter factor on the interval, from 0.6 to 1.2, drawn for each call
 *     so that the instances of a fleet do not call in step.
 * @return the delay from now.
 */
std::chrono::milliseconds RetryDelay(int failures,
                                     std::chrono::milliseconds call_duration,
                                     double jitter);

}  // namespace turmeric::store
