#pragma once

#include <cstddef>
#include <deque>

#include "turmeric/routing/upstream_clock.h"

namespace turmeric::routing {

/** Counts the recent sends to one upstream. The caller passes in the time. */
class RecentSends {
 public:
  /** How long a send counts: the one second of an upstream's bound, plus the
   * longest delay from the decision to the transmission on a small processor.
   */
  static constexpr std::chrono::milliseconds kWindow{1100};

  /** Records one send. @param now current time. */
  void Note(Clock::time_point now) {
    DropExpired(now);
    sends_.push_back(now);
  }
  /** @param now current time. @return sends within the window that ends now. */
  size_t Count(Clock::time_point now) const {
    size_t count = 0;
    for (auto it = sends_.rbegin(); it != sends_.rend(); ++it) {
      if (*it + kWindow <= now) break;
      ++count;
    }
    return count;
  }

 private:
  void DropExpired(Clock::time_point now) {
    while (!sends_.empty() && sends_.front() + kWindow <= now) {
      sends_.pop_front();
    }
  }

  std::deque<Clock::time_point> sends_;
};

}  // namespace turmeric::routing
