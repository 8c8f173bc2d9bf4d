#include "turmeric/streams/segment_writer.h"

#include <algorithm>

namespace turmeric::streams {

using std::chrono::milliseconds;

namespace {

/** Least time between the begins of two writes: bounds the calls to the store,
 * and is the time for which a record may be in memories only. */
constexpr milliseconds kMinWriteInterval{125};
/** Delay after a failed write. */
constexpr milliseconds kRetryDelay{500};
/** Time after which a new segment is opened: each write carries the whole
 * segment. */
constexpr milliseconds kSegmentTime{2000};
/** Most streams that wait while the store does not answer. */
constexpr size_t kMaxPending = kMaxSegmentStreams;
/** Failed writes after which the next position is tried. */
constexpr int kMaxFailures = 4;
/** Greatest size of an encoded segment; stores refuse objects of 1 MiB. */
constexpr size_t kMaxSegmentBytes = 256 * 1024;
/** Size of an encoded stream. */
constexpr size_t kStreamBytes = 11;
/** Size of the fields around the streams of an origin. */
constexpr size_t kOriginBytes = 64;
/** Greatest size of an encoded byte of a name. */
constexpr size_t kEscapedBytes = 6;

size_t EncodedSize(const StreamOrigin& origin) {
  return kOriginBytes +
         kEscapedBytes * (origin.service.size() + origin.version.size());
}

}  // namespace

size_t StartPosition(const TakenPositions& taken) {
  // Twice around the ring, as a gap may span its end.
  size_t longest = 0;
  size_t middle = 0;
  size_t gap = 0;
  for (size_t i = 0; i < 2 * kSegmentPositions; ++i) {
    gap = taken.at(i % kSegmentPositions) ? 0 : gap + 1;
    if (gap > longest && gap <= kSegmentPositions) {
      longest = gap;
      middle = i - gap / 2;
    }
  }
  return middle % kSegmentPositions;
}

void SegmentWriter::Add(const StreamOrigin& origin, uint64_t fingerprint) {
  if (EncodedSize(origin) + kStreamBytes > kMaxSegmentBytes) return;
  pending_.emplace_back(origin, fingerprint);
  if (pending_.size() > kMaxPending) pending_.pop_front();
}

std::optional<SegmentWriter::Clock::time_point> SegmentWriter::next_write()
    const {
  if (write_open_ || (pending_.empty() && !repeat_)) return std::nullopt;
  return not_before_;
}

const OriginSegment& SegmentWriter::BeginWrite(
    Clock::time_point now, std::chrono::system_clock::time_point wall) {
  const bool is_done =
      !repeat_ && (is_full_ || now - opened_at_ >= kSegmentTime);
  if (!last_write_ || is_done) {
    MoveOn();
    segment_ = {.opened_at = wall, .streams = {}};
    segment_size_ = 0;
    segment_bytes_ = 0;
    is_full_ = false;
    opened_at_ = now;
  } else if (failures_ >= kMaxFailures) {
    MoveOn();
  }
  Fill();
  write_open_ = true;
  repeat_ = false;
  last_write_ = now;
  not_before_ = now + kMinWriteInterval;
  return segment_;
}

void SegmentWriter::MoveOn() {
  position_ = next_position_;
  next_position_ = (position_ + 1) % kSegmentPositions;
  failures_ = 0;
}

void SegmentWriter::Fill() {
  while (!pending_.empty() && !is_full_) {
    const auto& [origin, fingerprint] = pending_.front();
    const bool is_new = !segment_.streams.contains(origin);
    const size_t bytes = kStreamBytes + (is_new ? EncodedSize(origin) : 0);
    is_full_ = segment_bytes_ + bytes > kMaxSegmentBytes;
    if (is_full_) break;
    segment_.streams[origin].push_back(fingerprint);
    segment_bytes_ += bytes;
    is_full_ = ++segment_size_ >= kMaxSegmentStreams;
    pending_.pop_front();
  }
}

void SegmentWriter::OnWritten(bool written, Clock::time_point now) {
  write_open_ = false;
  failures_ = written ? 0 : failures_ + 1;
  last_write_ = now;
  repeat_ = !written;
  if (!written) not_before_ = std::max(not_before_, now + kRetryDelay);
}

}  // namespace turmeric::streams
