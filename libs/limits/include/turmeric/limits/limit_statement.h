#pragma once

#include <optional>

#include "turmeric/limits/clock.h"

namespace turmeric::limits {

/** The request rate that one answer of an upstream states as its limit. The
 * answer was made between `sent_at` and `received_at`. */
struct LimitStatement {
  /** Requests per second from all instances together; nullopt: the answer
   * states no limit. */
  std::optional<double> per_s;
  Clock::time_point sent_at;      ///< When the request was sent.
  Clock::time_point received_at;  ///< When the answer was received.
};

}  // namespace turmeric::limits
