#pragma once

#include <chrono>

namespace turmeric::routing {

/** The clock upstream state is kept by. */
using Clock = std::chrono::steady_clock;

}  // namespace turmeric::routing
