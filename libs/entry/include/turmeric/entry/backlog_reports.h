#pragma once

#include <chrono>
#include <map>
#include <string>

namespace turmeric::entry {

/**
 * The latest queue lengths of stage shards, as reported by the instances that
 * own the shards.
 */
class BacklogReports {
 public:
  using Clock = std::chrono::steady_clock;

  /**
   * @param shard name of a shard of a stage service.
   * @param calls number of calls waiting for each of its upstreams.
   * @param now time at which the report was received.
   */
  void Record(const std::string& shard, double calls, Clock::time_point now) {
    entries_[shard] = {calls, now};
  }
  /**
   * @param now current time.
   * @return calls waiting for each upstream by shard, without stale reports.
   */
  std::map<std::string, double> Fresh(Clock::time_point now) const {
    // Older reports are meaningless: a queue drains within one or two calls.
    constexpr std::chrono::milliseconds kMaxAge{500};
    std::map<std::string, double> fresh;
    for (const auto& [shard, entry] : entries_) {
      if (now - entry.received_at <= kMaxAge) fresh[shard] = entry.calls;
    }
    return fresh;
  }

 private:
  struct Entry {
    double calls = 0;
    Clock::time_point received_at;
  };
  std::map<std::string, Entry> entries_;
};

}  // namespace turmeric::entry
