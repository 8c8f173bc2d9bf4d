#pragma once

#include <cstddef>

namespace turmeric::utils {

/** @return descriptors that the process may open, as the system states; the
 * largest number if it states none. */
size_t DescriptorLimit();

}  // namespace turmeric::utils
