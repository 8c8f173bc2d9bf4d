#include "turmeric/utils/decision_log.h"

#include <easylogging++.h>

#include <chrono>

#include "turmeric/utils/control_characters.h"

namespace turmeric::utils {

namespace {

struct Window {
  std::chrono::steady_clock::time_point start;
  int lines = 0;
  int64_t dropped_since_last_line = 0;
  int64_t dropped = 0;
};

Window& CurrentWindow() {
  static Window window;
  const auto now = std::chrono::steady_clock::now();
  if (now - window.start >= std::chrono::seconds(1)) {
    window.start = now;
    window.lines = 0;
  }
  return window;
}

}  // namespace

DecisionLog::DecisionLog(std::string_view event) {
  Window& window = CurrentWindow();
  enabled_ = window.lines < kMaxLinesPerSecond;
  if (!enabled_) {
    ++window.dropped_since_last_line;
    ++window.dropped;
    return;
  }
  ++window.lines;
  line_ << "event=" << event;
  if (window.dropped_since_last_line > 0) {
    line_ << " lines_dropped=" << window.dropped_since_last_line;
    window.dropped_since_last_line = 0;
  }
}

DecisionLog::~DecisionLog() {
  if (enabled_) LOG(INFO) << EscapeControlCharacters(line_.str());
}

int64_t DecisionLog::dropped() { return CurrentWindow().dropped; }

}  // namespace turmeric::utils
