#pragma once

#include <chrono>
#include <string>

namespace turmeric::quarantine {

/** The clock that crashes are dated by. */
using Clock = std::chrono::steady_clock;

/** One upstream process that ended while it had a request. */
struct Crash {
  std::string work;      ///< Fingerprint of the request.
  std::string service;   ///< The upstream's.
  std::string upstream;  ///< One start of one process.
  Clock::time_point at;
  /** Part of the answer had come: the request had run there for a while. */
  bool progressed = false;
};

/** A request that an upstream ran to its end. */
struct GoodRun {
  std::string work;
  std::string service;
  Clock::time_point at;
};

}  // namespace turmeric::quarantine
