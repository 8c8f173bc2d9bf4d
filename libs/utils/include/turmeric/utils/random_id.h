#pragma once

#include <cstddef>
#include <string>

namespace turmeric::utils {

/**
 * @param digits length.
 * @return that many random lowercase hex digits, unlike those of any other
 *     process or earlier run of this one (seeded from the system).
 */
std::string RandomHex(size_t digits);

}  // namespace turmeric::utils
