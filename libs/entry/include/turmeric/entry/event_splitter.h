#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::entry {

/** One whole event of a stream, its blank line included. */
struct StreamEvent {
  std::string bytes;
  std::optional<int64_t> id;
};

/**
 * Splits a text/event-stream body into whole events, keeping the tail: an
 * upstream may stop in the middle of one, and half an event must not reach
 * the caller before what follows it is known.
 */
class EventSplitter {
 public:
  /** @param bytes newly arrived. @return the events they complete. */
  std::vector<StreamEvent> Feed(std::string_view bytes);
  /** @return true if part of an event is held. */
  bool has_tail() const { return !tail_.empty(); }
  /** Forgets the tail: another run goes on. */
  void Reset() { tail_.clear(); }

 private:
  std::string tail_;
};

}  // namespace turmeric::entry
