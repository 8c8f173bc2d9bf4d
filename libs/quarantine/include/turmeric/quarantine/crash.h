#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace turmeric::quarantine {

/** Clock of the crash times. */
using Clock = std::chrono::steady_clock;

/** The end of an upstream process while it had a request in flight. */
struct Crash {
  std::string fingerprint;  ///< Fingerprint of the request.
  std::string service;      ///< Service of the upstream.
  std::string upstream;     ///< Identifies one start of the process.
  Clock::time_point at;
  /** True if the upstream had been writing the answer for a while. */
  bool progressed = false;
  /** Keys of the request's prompt parts, see RequestTraits. Empty if the
   * upstream had progressed, which clears them. */
  std::vector<std::string> parts{};
};

/** The run of a request that an upstream has completed, or on whose answer it
 * has been writing for long enough to clear the prompt parts. */
struct GoodRun {
  /** Fingerprint of the request; empty: the run is not complete. */
  std::string fingerprint;
  std::string service;  ///< Service of the upstream.
  Clock::time_point at;
  std::vector<std::string>
      parts{};  ///< Cleared prompt parts, see RequestTraits.
};

/** A request sent to an upstream after the end of its quarantine, to find out
 * whether its fault has been fixed. */
struct Trial {
  std::string trait;  ///< Fingerprint or prompt part that was the cause.
  Clock::time_point at;
};

}  // namespace turmeric::quarantine
