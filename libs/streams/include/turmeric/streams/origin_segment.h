#pragma once

#include <QJsonObject>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "turmeric/streams/stream_id.h"
#include "turmeric/streams/stream_origin.h"

namespace turmeric::streams {

/** Most streams of a segment: 11 bytes each when encoded, so that a segment
 * stays well below the largest object of a store. */
inline constexpr size_t kMaxSegmentStreams = 16000;

/** A part of the archive of origins: streams that began within a short time. */
struct OriginSegment {
  std::chrono::system_clock::time_point opened_at;
  /** Fingerprints of the streams, by origin. */
  std::map<StreamOrigin, std::vector<uint64_t>> streams;

  /** @return number of streams. */
  size_t size() const;
};

/** @param id a stream. @return its fingerprint in the archive. */
uint64_t Fingerprint(const StreamId& id);

/** @param segment a segment. @return its content as an object of a store. */
QJsonObject EncodeSegment(const OriginSegment& segment);

/**
 * @param spec content of an object.
 * @return the segment; nullopt if any part of it is malformed or it has more
 *     than kMaxSegmentStreams streams.
 */
std::optional<OriginSegment> DecodeSegment(const QJsonObject& spec);

}  // namespace turmeric::streams
