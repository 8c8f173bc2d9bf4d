#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "turmeric/balancing/load_report.h"

namespace turmeric::balancing {

/** An upstream to choose from. */
struct Candidate {
  double expected_ms = 0;  ///< Expected time to the answer.
  double service_ms = 1;   ///< The part of it without waiting.
  int slots = 1;
  Clock::time_point sampled_at;  ///< Last sample of its speed.
};

/**
 * Chooses by the power of random choices: draws a few candidates with weights
 * proportional to their capacity and takes the one with the least expected
 * time. The load that it handles: many instances see the same figures, some
 * hundred ms old. If each took the minimum of all candidates, all would take
 * the same one. Of d draws, no candidate gets more than d times its part of the
 * requests. Three draws (from 12 candidates on) find a fast candidate more
 * often; with fewer candidates, three of them would come close to the minimum
 * of all.
 *
 * One in 32 choices tries the candidate that was sampled longest ago, unless it
 * was sampled within the last second or its expected time is more than four
 * times that of the drawn one, as for an upstream that does not answer. This
 * costs few requests and finds out within seconds that an upstream is fast
 * again.
 * @param candidates to choose from.
 * @param draw random, uniform over all values.
 * @param now current time.
 * @return index of the chosen candidate; nullopt if there is none.
 */
std::optional<size_t> ChooseByExpectedTime(
    std::span<const Candidate> candidates, uint64_t draw,
    Clock::time_point now);

}  // namespace turmeric::balancing
