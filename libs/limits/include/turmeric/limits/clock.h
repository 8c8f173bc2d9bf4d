#pragma once

#include <chrono>

namespace turmeric::limits {

/** The clock of all times in this library. */
using Clock = std::chrono::steady_clock;

}  // namespace turmeric::limits
