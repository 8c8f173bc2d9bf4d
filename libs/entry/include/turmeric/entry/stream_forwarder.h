#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "turmeric/entry/event_splitter.h"

namespace turmeric::entry {

/**
 * Filters an event stream for the caller: forwards whole events, each once,
 * also when the stream is resumed by another run of the request.
 */
class StreamForwarder {
 public:
  /**
   * @param bytes of the current run's body.
   * @return bytes to forward to the caller; may be empty.
   */
  std::string Feed(std::string_view bytes);
  /**
   * Called when the current run broke off and another run resumes the stream;
   * discards an incomplete event.
   */
  void OnRunEnded() { splitter_.Reset(); }
  /** @return true if the run's body so far ends inside an event. */
  bool inside_event() const { return splitter_.has_tail(); }
  /** @return id of the last forwarded event that had one; nullopt: none. */
  std::optional<int64_t> last_event_id() const { return last_event_id_; }
  /** @return number of events forwarded. */
  int64_t events() const { return events_forwarded_; }

 private:
  EventSplitter splitter_;
  std::optional<int64_t> last_event_id_;
  int64_t events_forwarded_ = 0;
};

}  // namespace turmeric::entry
