#pragma once

#include <span>

namespace turmeric::fairness {

/**
 * Divides a capacity by max-min fairness.
 * @param capacity to be divided, in any unit; negative counts as 0.
 * @param demands in the unit of `capacity`; not negative.
 * @return the level L with sum(min(d, L)) = capacity; infinite if the sum of
 *     demands is at most the capacity.
 */
double MaxMinLevel(double capacity, std::span<const double> demands);

}  // namespace turmeric::fairness
