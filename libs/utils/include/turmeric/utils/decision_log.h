#pragma once

#include <cstdint>
#include <sstream>
#include <string_view>

namespace turmeric::utils {

/**
 * One structured line for one decision: "event=NAME key=value ...", written
 * when the object goes. At most kMaxLinesPerSecond a second; the rest are
 * counted, and the count is part of the next line, so that a flood neither
 * blocks nor hides itself. Event-loop thread only.
 */
class DecisionLog {
 public:
  /** Lines a second beyond which lines are dropped: about ten for each
   * request that one small instance serves when busy. */
  static constexpr int kMaxLinesPerSecond = 200;

  /** @param event the decision's name, snake_case. */
  explicit DecisionLog(std::string_view event);
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  /** @param key a name. @param value its value. @return this. */
  template <class Value>
  DecisionLog& Add(std::string_view key, const Value& value) {
    if (on_) line_ << ' ' << key << '=' << value;
    return *this;
  }

  /** @return lines dropped since the process started. */
  static int64_t dropped();

 private:
  bool on_;
  std::ostringstream line_;
};

}  // namespace turmeric::utils
