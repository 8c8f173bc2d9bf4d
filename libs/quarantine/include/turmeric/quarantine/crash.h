#pragma once

#include <chrono>
#include <string>

namespace turmeric::quarantine {

/** Clock of the crash times. */
using Clock = std::chrono::steady_clock;

/** The end of an upstream process while it had a request in flight. */
struct Crash {
  std::string fingerprint;  ///< Fingerprint of the request.
  std::string service;      ///< Service of the upstream.
  std::string upstream;     ///< Identifies one start of the process.
  Clock::time_point at;
  /** True if part of the answer had been received, so that the request had run
   * for a while. */
  bool progressed = false;
};

/** The complete run of a request on an upstream. */
struct GoodRun {
  std::string fingerprint;  ///< Fingerprint of the request.
  std::string service;      ///< Service of the upstream.
  Clock::time_point at;
};

}  // namespace turmeric::quarantine
