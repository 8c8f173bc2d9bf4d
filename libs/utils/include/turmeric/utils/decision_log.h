#pragma once

#include <cstdint>
#include <sstream>
#include <string_view>

namespace turmeric::utils {

/**
 * Writes one structured log line for one event, "event=NAME key=value ...",
 * when the object is destroyed. At most kMaxLinesPerSecond lines are written
 * per second, so that a burst of events does not block the event loop. Further
 * lines are dropped and counted; the next line written has the count as
 * `lines_dropped`. Must be used on the event-loop thread only.
 */
class DecisionLog {
 public:
  /** Limit on log lines per second. It allows about ten lines per request at
   * the request rate of a small instance under load. */
  static constexpr int kMaxLinesPerSecond = 200;

  /** @param event name of the event, snake_case. */
  explicit DecisionLog(std::string_view event);
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  /** Appends " key=value". @param value any streamable value. @return *this. */
  template <class Value>
  DecisionLog& Add(std::string_view key, const Value& value) {
    if (enabled_) line_ << ' ' << key << '=' << value;
    return *this;
  }

  /** @return number of lines dropped since the process started. */
  static int64_t dropped();

 private:
  bool enabled_;
  std::ostringstream line_;
};

}  // namespace turmeric::utils
