#pragma once

#include <chrono>
#include <map>
#include <string>

namespace turmeric::entry {

/** What the owners of the stage services last said of their queues. */
class BacklogBoard {
 public:
  using Clock = std::chrono::steady_clock;

  /**
   * @param service a stage service. @param calls calls waiting for each of
   * its upstreams. @param now when this was heard.
   */
  void Note(const std::string& service, double calls, Clock::time_point now) {
    entries_[service] = {calls, now};
  }
  /** @param now the time. @return what was said lately, by service. */
  std::map<std::string, double> Fresh(Clock::time_point now) const {
    // Older news says nothing: a queue empties within a call or two.
    constexpr std::chrono::milliseconds kFresh{500};
    std::map<std::string, double> fresh;
    for (const auto& [service, entry] : entries_) {
      if (now - entry.at <= kFresh) fresh[service] = entry.calls;
    }
    return fresh;
  }

 private:
  struct Entry {
    double calls = 0;
    Clock::time_point at;
  };
  std::map<std::string, Entry> entries_;
};

}  // namespace turmeric::entry
