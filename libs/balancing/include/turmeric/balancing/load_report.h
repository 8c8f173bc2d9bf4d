#pragma once

#include <chrono>

namespace turmeric::balancing {

/** The clock of all times in this library. */
using Clock = std::chrono::steady_clock;

/** Bounds of a reported pace; a pace outside of them is clamped. */
inline constexpr double kMinPace = 0.1;
inline constexpr double kMaxPace = 20.0;

/** The load that an upstream has reported in an answer. */
struct LoadReport {
  int running = 0;  ///< Requests that run on the upstream.
  int waiting = 0;  ///< Requests that wait there.
  int slots = 1;    ///< Requests that it runs at once.
  /** How long work takes there at this moment, as a multiple of the usual time,
   * within kMinPace and kMaxPace. */
  double pace = 1.0;
  Clock::time_point at = {};  ///< When the answer was received.
};

}  // namespace turmeric::balancing
