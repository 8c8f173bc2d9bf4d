#include "turmeric/entry/event_splitter.h"

#include <charconv>

namespace turmeric::entry {

namespace {

/** @return the value of an event's "id:" line, if it is a number. */
std::optional<int64_t> EventId(std::string_view event) {
  constexpr std::string_view kField = "id:";
  while (!event.empty()) {
    const size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    if (line.starts_with(kField)) {
      line.remove_prefix(kField.size());
      while (line.starts_with(' ')) line.remove_prefix(1);
      int64_t id = 0;
      const auto parsed =
          std::from_chars(line.data(), line.data() + line.size(), id);
      if (parsed.ec == std::errc()) return id;
      return std::nullopt;
    }
    if (end == std::string_view::npos) break;
    event.remove_prefix(end + 1);
  }
  return std::nullopt;
}

/** @return the position after the first blank line, npos if there is none. */
size_t EventEnd(std::string_view text) {
  const size_t lf = text.find("\n\n");
  const size_t crlf = text.find("\r\n\r\n");
  if (crlf != std::string_view::npos && crlf < lf) return crlf + 4;
  return lf == std::string_view::npos ? lf : lf + 2;
}

}  // namespace

std::vector<StreamEvent> EventSplitter::Feed(std::string_view bytes) {
  tail_.append(bytes);
  std::vector<StreamEvent> events;
  size_t taken = 0;
  for (;;) {
    std::string_view rest = tail_;
    rest.remove_prefix(taken);
    const size_t end = EventEnd(rest);
    if (end == std::string_view::npos) break;
    const std::string_view event = rest.substr(0, end);
    events.push_back({std::string(event), EventId(event)});
    taken += end;
  }
  tail_.erase(0, taken);
  return events;
}

}  // namespace turmeric::entry
