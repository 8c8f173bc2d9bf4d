#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::entry {

/**
 * Distinguishes retrying callers from new ones by their deadlines: a caller
 * states the time that it has left, and a caller that retries after a refusal
 * states less than is usual for the route. Its latency target still counts from
 * its first attempt. Without the distinction, under sustained overload retrying
 * callers would be served before callers that can still be served in time, and
 * both would be served too late. A caller with a much shorter deadline than
 * others is treated as retrying: it is served after new callers, but only while
 * there are more requests than can be served in time.
 */
class UsualDeadlines {
 public:
  /**
   * @param route route of the request.
   * @param stated time that the caller has left; nullopt: not stated.
   * @return time that the caller has already used; 0 if it is new.
   */
  std::chrono::milliseconds TimeUsed(
      const std::string& route,
      std::optional<std::chrono::milliseconds> stated);

 private:
  struct Samples {
    std::vector<std::chrono::milliseconds> values;  ///< Ring buffer.
    size_t next = 0;
  };
  std::map<std::string, Samples> by_route_;
};

}  // namespace turmeric::entry
