#pragma once

#include <chrono>

namespace turmeric::routing {

/** The clock of all times in the state of upstreams. */
using Clock = std::chrono::steady_clock;

}  // namespace turmeric::routing
