#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace turmeric::insight {

/** One decision of an instance, as its log line tells it. */
struct LogEvent {
  std::chrono::milliseconds at{0};  ///< Time of day of the line.
  /** The word before the line's time: the instance's name, where the logs of
   * several are in one file; else empty. */
  std::string instance;
  std::string name;
  std::map<std::string, std::string, std::less<>> fields;

  /** @param key a field. @return its value; empty if it is not there. */
  std::string_view Text(std::string_view key) const;
  /** @param key a field. @param fallback returned if it is no number.
   * @return its value. */
  int64_t Number(std::string_view key, int64_t fallback = 0) const;
};

/**
 * @param line of an instance's log; what stands before its time is skipped but
 *     for the last word.
 * @return the decision, or nullopt if the line tells none.
 */
std::optional<LogEvent> ParseLogLine(std::string_view line);

}  // namespace turmeric::insight
