#pragma once

#include <cstddef>
#include <string>

namespace turmeric::utils {

/**
 * Generates a random identifier. The generator of each thread is seeded from
 * the system's random device, so that identifiers of different processes, and
 * of earlier runs of this process, differ.
 * @param digits number of digits.
 * @return lowercase hex digits.
 */
std::string RandomHex(size_t digits);

/** @return a random number from the same generator, uniform in [0, 1). */
double RandomFraction();

}  // namespace turmeric::utils
