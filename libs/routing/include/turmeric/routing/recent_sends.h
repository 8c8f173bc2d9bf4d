#pragma once

#include <cstddef>
#include <deque>

#include "turmeric/routing/upstream_clock.h"

namespace turmeric::routing {

/** How much was sent to one upstream lately. Time is passed in. */
class RecentSends {
 public:
  /** Sends count for this long: the second of an upstream's bound, and the
   * longest way from the decision to the wire on a small processor. */
  static constexpr std::chrono::milliseconds kWindow{1100};

  /** @param now something is sent. */
  void Note(Clock::time_point now) {
    Forget(now);
    sends_.push_back(now);
  }
  /** @param now the time. @return sends within the window that ends now. */
  size_t Count(Clock::time_point now) const {
    size_t count = 0;
    for (auto it = sends_.rbegin(); it != sends_.rend(); ++it) {
      if (*it + kWindow <= now) break;
      ++count;
    }
    return count;
  }

 private:
  void Forget(Clock::time_point now) {
    while (!sends_.empty() && sends_.front() + kWindow <= now) {
      sends_.pop_front();
    }
  }

  std::deque<Clock::time_point> sends_;
};

}  // namespace turmeric::routing
