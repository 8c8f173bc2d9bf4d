#pragma once

#include <span>
#include <string_view>
#include <vector>

namespace turmeric::quarantine {

/** Weight of a crash as an upstream began to write the answer, and of one after
 * it had been writing for a while. A request that had run for a while is less
 * likely to be the cause than one that had just begun. */
inline constexpr int kEarlyCrashWeight = 2;
inline constexpr int kLateCrashWeight = 1;

/** A fingerprint or prompt part that may be the cause of a crash. */
struct PossibleCause {
  std::string_view trait;
  int weight = 0;  ///< See kEarlyCrashWeight.
};

/** One crash under a request that is under suspicion. */
struct SuspiciousCrash {
  int weight = 0;  ///< See kEarlyCrashWeight.
  /** Traits, other than those of the request, that were running on the same
   * upstream. */
  std::vector<PossibleCause> others;
};

/** The cheapest explanation of crashes in which a request is harmless. */
struct Explanation {
  int cost = 0;
  bool blames_others = false;  ///< At least one other cause is assumed.
};

/**
 * Finds the cheapest explanation of crashes in which the request under which
 * they occurred is harmless. A crash has either a cause outside of all
 * requests, which costs its weight, or one of the others that ran there. Each
 * of these that is assumed to be a cause costs kEarlyCrashWeight, and reduces
 * the cost of all crashes under it by its weight there. At most two others are
 * assumed to be causes.
 * @param crashes under the request; the last 64 count.
 * @return the explanation. The higher its cost, the less likely it is.
 */
Explanation CheapestExplanation(std::span<const SuspiciousCrash> crashes);

}  // namespace turmeric::quarantine
