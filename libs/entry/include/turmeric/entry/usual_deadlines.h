#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace turmeric::entry {

/**
 * Tells callers that come back from new ones: a caller states the time it has
 * left, and one that returns after a refusal states less than is usual for the
 * route. Its latency target still counts from its first attempt. Answers
 * sustained overload: returning callers taken for new ones go before those
 * that can still be in time, and then neither is. A caller that is merely
 * less patient than others counts as returning; it is served behind those that
 * are not, and only while more is asked for than can be in time.
 */
class UsualDeadlines {
 public:
  using Clock = std::chrono::steady_clock;

  /**
   * @param route the request's route. @param stated the time that the caller
   * has left; none: it has not said. @param now the time.
   * @return time that the caller has used already; 0 if it is new.
   */
  std::chrono::milliseconds Used(
      const std::string& route, std::optional<std::chrono::milliseconds> stated,
      Clock::time_point now);

 private:
  /** The longest of this period and of the one before it. */
  struct Longest {
    Clock::time_point period_began;
    std::chrono::milliseconds current{0};
    std::chrono::milliseconds before{0};
  };
  std::map<std::string, Longest> by_route_;
};

}  // namespace turmeric::entry
