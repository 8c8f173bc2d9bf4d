#include "turmeric/entry/stream_forwarder.h"

namespace turmeric::entry {

std::string StreamForwarder::Feed(std::string_view bytes) {
  std::string out;
  for (const StreamEvent& event : splitter_.Feed(bytes)) {
    // Guard: a run that resumes the stream at another upstream may begin with
    // events that were already forwarded; forwarding them again would duplicate
    // text.
    if (event.id && last_event_id_ && *event.id <= *last_event_id_) continue;
    if (event.id) last_event_id_ = event.id;
    ++events_forwarded_;
    out.append(event.bytes);
  }
  return out;
}

}  // namespace turmeric::entry
