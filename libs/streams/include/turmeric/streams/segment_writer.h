#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include "turmeric/streams/origin_segment.h"
#include "turmeric/streams/stream_origin.h"

namespace turmeric::streams {

/** Number of positions for the segments of one slot: several times those that
 * are written within the lifetime of a record. */
inline constexpr size_t kSegmentPositions = 200;

/** Positions that hold a recent segment. */
using TakenPositions = std::array<bool, kSegmentPositions>;

/** @param taken positions that hold a recent segment. @return the middle of the
 * longest gap between them, where a writer can begin beside another one. */
size_t StartPosition(const TakenPositions& taken);

/**
 * Decides when and to which position of a ring the origins of new streams are
 * written. The writes a second are bounded, whatever the number of streams; the
 * first stream after a pause is written at once. One write is open at a time.
 * The caller performs the writes and passes in the time.
 */
class SegmentWriter {
 public:
  using Clock = std::chrono::steady_clock;

  /** @param position where the next segment is written, instead of after the
   * last one. */
  void MoveTo(size_t position) { next_position_ = position; }
  /** @param origin a stream's origin; ignored if its names are too long for a
   * segment. @param fingerprint the stream. */
  void Add(const StreamOrigin& origin, uint64_t fingerprint);
  /** @return when the next write may begin; nullopt: a write is open, or there
   * is nothing to write. */
  std::optional<Clock::time_point> next_write() const;
  /**
   * Begins a write. Requires next_write() to be reached.
   * @param now current time. @param wall the same on the wall clock.
   * @return the segment to be written at position().
   */
  const OriginSegment& BeginWrite(Clock::time_point now,
                                  std::chrono::system_clock::time_point wall);
  /** Ends a write. @param written false: it is repeated after a delay, after
   * several failures at the next position.
   * @param now current time. */
  void OnWritten(bool written, Clock::time_point now);

  /** @return position of the current segment. */
  size_t position() const { return position_; }
  /** @return end of the last write, or begin of the open one. */
  std::optional<Clock::time_point> last_write() const { return last_write_; }

 private:
  /** Moves to the next position. */
  void MoveOn();
  /** Adds streams to the segment until it is full. */
  void Fill();

  /** Streams that are in no segment yet, oldest first. */
  std::deque<std::pair<StreamOrigin, uint64_t>> pending_;
  OriginSegment segment_;
  size_t segment_size_ = 0;
  size_t segment_bytes_ = 0;  ///< Bound on its size when encoded.
  bool is_full_ = false;      ///< The segment takes no more streams.
  size_t position_ = 0;
  size_t next_position_ = 0;
  Clock::time_point opened_at_;
  std::optional<Clock::time_point> last_write_;
  Clock::time_point not_before_;
  bool write_open_ = false;
  bool repeat_ = false;  ///< The last write failed.
  int failures_ = 0;     ///< Failed writes in a row at this position.
};

}  // namespace turmeric::streams
