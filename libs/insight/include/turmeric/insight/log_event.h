#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace turmeric::insight {

/** One event of an instance, parsed from its log line. */
struct LogEvent {
  std::chrono::milliseconds at{0};  ///< Time of day of the timestamp.
  /** The last word before the timestamp: the name of the instance if one file
   * holds the logs of several instances; empty otherwise. */
  std::string instance;
  std::string name;
  std::map<std::string, std::string, std::less<>> fields;

  /** @param key field name. @return its value; empty if it is absent. */
  std::string_view Text(std::string_view key) const;
  /** @param key field name. @param fallback result if the field is absent or
   * does not start with an integer. @return its value. */
  int64_t Number(std::string_view key, int64_t fallback = 0) const;
};

/**
 * Parses a log line of the form "[...] [instance] ts=TIMESTAMP ... event=NAME
 * key=value ...".
 * @param line one line without its newline; only the last word of the text
 *     before the timestamp is used.
 * @return the event, or nullopt if the line has no valid timestamp or no event
 *     name.
 */
std::optional<LogEvent> ParseLogLine(std::string_view line);

}  // namespace turmeric::insight
