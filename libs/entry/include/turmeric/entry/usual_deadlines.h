#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::entry {

/**
 * Tells callers that come back from new ones: a caller states the time it has
 * left, and one that returns after a refusal states less than is usual for the
 * route. Its latency target still counts from its first attempt. Answers
 * sustained overload: returning callers taken for new ones go before those
 * that can still be in time, and then neither is. A caller that is much less
 * patient than others counts as returning; it is served behind those that are
 * not, and only while more is asked for than can be in time.
 */
class UsualDeadlines {
 public:
  /**
   * @param route the request's route. @param stated the time that the caller
   * has left; none: it has not said.
   * @return time that the caller has used already; 0 if it is new.
   */
  std::chrono::milliseconds Used(
      const std::string& route,
      std::optional<std::chrono::milliseconds> stated);

 private:
  struct Stated {
    std::vector<std::chrono::milliseconds> last;  ///< A ring.
    size_t next = 0;
  };
  std::map<std::string, Stated> by_route_;
};

}  // namespace turmeric::entry
