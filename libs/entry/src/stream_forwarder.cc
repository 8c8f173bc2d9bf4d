#include "turmeric/entry/stream_forwarder.h"

namespace turmeric::entry {

std::string StreamRelay::Feed(std::string_view bytes) {
  std::string out;
  for (const StreamEvent& event : splitter_.Feed(bytes)) {
    // Guard: a run that goes on at another upstream may begin with events
    // that were passed on already; twice in a stream, they would be doubled
    // text.
    if (event.id && last_event_ && *event.id <= *last_event_) continue;
    if (event.id) last_event_ = event.id;
    ++events_;
    out.append(event.bytes);
  }
  return out;
}

}  // namespace turmeric::entry
