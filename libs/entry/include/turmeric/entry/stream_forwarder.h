#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "turmeric/entry/event_splitter.h"

namespace turmeric::entry {

/**
 * What of an event stream goes on to the caller: whole events, each once,
 * whichever runs they come from.
 */
class StreamRelay {
 public:
  /** @param bytes of the present run's body.
   * @return what to pass on; may be empty. */
  std::string Feed(std::string_view bytes);
  /** The present run broke off; another one goes on. */
  void RunEnded() { splitter_.Reset(); }
  /** @return true if the run's body ends inside an event. */
  bool inside_event() const { return splitter_.has_tail(); }
  /** @return id of the last event passed on, if it had one. */
  std::optional<int64_t> last_event() const { return last_event_; }
  /** @return events passed on. */
  int64_t events() const { return events_; }

 private:
  EventSplitter splitter_;
  std::optional<int64_t> last_event_;
  int64_t events_ = 0;
};

}  // namespace turmeric::entry
