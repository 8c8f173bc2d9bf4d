#pragma once

#include <chrono>

namespace turmeric::fairness {

/**
 * Delay after which a request of an organisation above its share may return. It
 * grows with the organisation's own excess, so that the returning requests add
 * less to a demand that is already too large.
 * @param demand of the organisation. @param level see SharePlan.
 * @param draw random number, uniform in [0, 1).
 * @return 0.5 s times the excess (demand / level - 1), between 0.2 and 5 s,
 *     spread evenly over one to two times that value.
 */
std::chrono::milliseconds RetryAfterExcess(double demand, double level,
                                           double draw);

}  // namespace turmeric::fairness
