#pragma once

#include <chrono>
#include <optional>
#include <utility>

namespace turmeric::utils {

/** Limits the log lines of an event that clients can cause at any rate to one a
 * second. */
class LogInterval {
 public:
  using Clock = std::chrono::steady_clock;

  /** Counts an event. @param now the present time.
   * @return events since the last line, if a line is due. */
  std::optional<int> Count(Clock::time_point now) {
    ++events_;
    if (logged_at_ && now - *logged_at_ < std::chrono::seconds(1)) {
      return std::nullopt;
    }
    logged_at_ = now;
    return std::exchange(events_, 0);
  }

 private:
  int events_ = 0;
  std::optional<Clock::time_point> logged_at_;
};

}  // namespace turmeric::utils
