#include "turmeric/insight/log_event.h"

#include <array>
#include <charconv>
#include <utility>

namespace turmeric::insight {

using std::chrono::milliseconds;

namespace {

constexpr std::string_view kTimestampKey = "ts=";
constexpr std::string_view kEventKey = "event";

/** Parses the time "HH:MM:SS.mmm" after the "T" of an ISO 8601 timestamp. */
std::optional<milliseconds> TimeOfDay(std::string_view stamp) {
  const size_t clock = stamp.find('T');
  if (clock == std::string_view::npos) return std::nullopt;
  stamp.remove_prefix(clock + 1);
  // Offset, number of digits and unit of each component.
  struct Part {
    size_t at;
    size_t digits;
    milliseconds unit;
  };
  constexpr std::array<Part, 4> kParts = {{{0, 2, std::chrono::hours(1)},
                                           {3, 2, std::chrono::minutes(1)},
                                           {6, 2, std::chrono::seconds(1)},
                                           {9, 3, milliseconds(1)}}};
  milliseconds sum{0};
  for (const Part& part : kParts) {
    if (stamp.size() < part.at + part.digits) return std::nullopt;
    const char* begin = stamp.data() + part.at;
    int value = 0;
    const auto parsed = std::from_chars(begin, begin + part.digits, value);
    if (parsed.ec != std::errc() || parsed.ptr != begin + part.digits) {
      return std::nullopt;
    }
    sum += value * part.unit;
  }
  return sum;
}

std::string LastWord(std::string_view text) {
  const size_t end = text.find_last_not_of(' ');
  if (end == std::string_view::npos) return {};
  text = text.substr(0, end + 1);
  const size_t before = text.rfind(' ');
  return std::string(
      before == std::string_view::npos ? text : text.substr(before + 1));
}

}  // namespace

std::string_view LogEvent::Text(std::string_view key) const {
  const auto it = fields.find(key);
  return it == fields.end() ? std::string_view() : it->second;
}

int64_t LogEvent::Number(std::string_view key, int64_t fallback) const {
  const std::string_view text = Text(key);
  int64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return parsed.ec == std::errc() ? value : fallback;
}

std::optional<LogEvent> ParseLogLine(std::string_view line) {
  const size_t start = line.find(kTimestampKey);
  if (start == std::string_view::npos) return std::nullopt;
  std::string instance = LastWord(line.substr(0, start));
  line.remove_prefix(start + kTimestampKey.size());
  const auto at = TimeOfDay(line.substr(0, line.find(' ')));
  if (!at) return std::nullopt;
  LogEvent event{
      .at = *at, .instance = std::move(instance), .name = {}, .fields = {}};
  while (!line.empty()) {
    const size_t end = line.find(' ');
    const std::string_view word = line.substr(0, end);
    const size_t equals = word.find('=');
    if (equals != std::string_view::npos) {
      event.fields.emplace(word.substr(0, equals), word.substr(equals + 1));
    }
    if (end == std::string_view::npos) break;
    line.remove_prefix(end + 1);
  }
  event.name = event.Text(kEventKey);
  if (event.name.empty()) return std::nullopt;
  return event;
}

}  // namespace turmeric::insight
