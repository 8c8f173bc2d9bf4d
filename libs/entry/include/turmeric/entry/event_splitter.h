#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::entry {

/** One whole event of a stream, including its terminating blank line. */
struct StreamEvent {
  std::string bytes;
  std::optional<int64_t> id;
};

/**
 * Splits a text/event-stream body into whole events and buffers an incomplete
 * event at the end. An upstream may break off inside an event; the buffered
 * part must not reach the caller, as the stream may be resumed at another
 * upstream.
 */
class EventSplitter {
 public:
  /**
   * @param bytes next bytes of the body.
   * @return the events that these bytes complete.
   */
  std::vector<StreamEvent> Feed(std::string_view bytes);
  /** @return true if part of an event is buffered. */
  bool has_tail() const { return !tail_.empty(); }
  /** Discards the buffered part, before the body of another run begins. */
  void Reset() { tail_.clear(); }

 private:
  std::string tail_;
};

}  // namespace turmeric::entry
