#pragma once

#include <chrono>

namespace turmeric::entry {

/** Why a request was refused, as far as it matters for its return. */
enum class ComeBack {
  kAtOnce,  ///< Another instance can take it.
  kSoon,    ///< A queue or connection is full and moves on within a call.
  kAfterOverload,  ///< More is asked for than can be served now.
  kLater,  ///< Nothing could serve it; upstreams or knowledge are missing.
  kAfterOutage,  ///< The store does not answer, and nothing is known yet.
};

/**
 * When the caller of a refused request should return.
 * @param when see ComeBack. @param draw uniform in [0, 1): spreads the
 * refused, so that they do not all return in the same instant.
 * @return the pause to tell the caller.
 */
std::chrono::milliseconds ComeBackAfter(ComeBack when, double draw);

}  // namespace turmeric::entry
