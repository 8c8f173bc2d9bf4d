#pragma once

#include <chrono>

namespace turmeric::entry {

/** When a refused request may be retried, by the cause of the refusal. */
enum class RetryAfter {
  kImmediately,    ///< Another instance can serve it now.
  kSoon,           ///< A queue or the connections are full; capacity is freed
                   ///< within the duration of one call.
  kAfterOverload,  ///< Demand exceeds the capacity that is available now.
  /** No upstream is usable, or the configuration has not been read or
   * confirmed, or the time limit passed before a send. */
  kLater,
  kAfterStoreOutage,  ///< The store does not answer, and this instance has
                      ///< not read the configuration since it started.
};

/**
 * Computes the Retry-After delay of a refused request.
 * @param when see RetryAfter. @param draw uniform random number in [0, 1);
 * spreads the retries of callers that are refused at the same time.
 * @return the delay to send to the caller.
 */
std::chrono::milliseconds RetryAfterDelay(RetryAfter when, double draw);

/**
 * Computes the Retry-After delay of a request that can be served from a known
 * time on.
 * @param left time left until then.
 * @param draw uniform random number in [0, 1); spreads the retries of callers
 *     after that time.
 * @return the delay to send to the caller, at least `left`.
 */
std::chrono::milliseconds RetryAfterDelay(std::chrono::milliseconds left,
                                          double draw);

}  // namespace turmeric::entry
