#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "turmeric/streams/stream_id.h"
#include "turmeric/streams/stream_origin.h"

namespace turmeric::streams {

/**
 * The origins of recent streams, by stream. Bounded: the oldest records are
 * dropped. The caller passes in the time.
 */
class OriginRecords {
 public:
  using Clock = std::chrono::steady_clock;

  /** A stream and its origin. */
  struct Record {
    StreamId id;
    StreamOrigin origin;
    Clock::time_point at{};  ///< When it was recorded.
  };

  /**
   * @param capacity most records kept.
   * @param lifetime time for which a record is kept.
   */
  OriginRecords(size_t capacity, Clock::duration lifetime)
      : capacity_(capacity), lifetime_(lifetime) {}
  OriginRecords(const OriginRecords&) = delete;
  OriginRecords& operator=(const OriginRecords&) = delete;

  /**
   * Records a stream. The first record of a stream is kept.
   * @param id the stream. @param origin its origin.
   * @param now current time.
   */
  void Put(const StreamId& id, const StreamOrigin& origin,
           Clock::time_point now);
  /**
   * @param id a stream. @param now current time.
   * @return its origin, or nullopt if there is no record.
   */
  std::optional<StreamOrigin> Find(const StreamId& id,
                                   Clock::time_point now) const;
  /** @param service a service. @param now current time.
   * @return the records of its streams, oldest first. */
  std::vector<Record> OfService(std::string_view service,
                                Clock::time_point now) const;
  /** @param from a time. @return the records since then, oldest first. */
  std::vector<Record> Since(Clock::time_point from) const;
  /** Removes all records. */
  void Clear();
  /** @return number of records. */
  size_t size() const { return records_.size(); }

 private:
  struct Entry {
    StreamOrigin origin;
    Clock::time_point at;
  };

  using Records = std::map<StreamId, Entry>;

  void DropOldest();

  size_t capacity_;
  Clock::duration lifetime_;
  Records records_;
  std::deque<Records::const_iterator> order_;  ///< Oldest first.
};

}  // namespace turmeric::streams
