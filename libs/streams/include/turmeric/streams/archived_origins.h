#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

#include "turmeric/streams/origin_segment.h"
#include "turmeric/streams/stream_id.h"
#include "turmeric/streams/stream_origin.h"

namespace turmeric::streams {

/** The origins of the streams of several segments. Bounded: streams beyond the
 * capacity are not known. */
class ArchivedOrigins {
 public:
  /** @param capacity most streams known. */
  explicit ArchivedOrigins(size_t capacity) : capacity_(capacity) {}
  ArchivedOrigins(const ArchivedOrigins&) = delete;
  ArchivedOrigins& operator=(const ArchivedOrigins&) = delete;
  ArchivedOrigins(ArchivedOrigins&&) = default;
  ArchivedOrigins& operator=(ArchivedOrigins&&) = default;

  /** @param segment its streams are added. A stream that has another origin
   * in an earlier segment has none from then on. */
  void Add(const OriginSegment& segment);
  /** @param id a stream. @return its origin; nullopt: not known. */
  std::optional<StreamOrigin> Find(const StreamId& id) const;
  /** @return number of streams. */
  size_t size() const { return by_fingerprint_.size(); }

 private:
  size_t capacity_;
  std::set<StreamOrigin> origins_;
  /** nullptr: the segments disagree. */
  std::unordered_map<uint64_t, const StreamOrigin*> by_fingerprint_;
};

}  // namespace turmeric::streams
