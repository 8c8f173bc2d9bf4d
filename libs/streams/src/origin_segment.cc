#include "turmeric/streams/origin_segment.h"

#include <xxhash.h>

#include <QByteArray>
#include <QJsonArray>
#include <QtEndian>
#include <numeric>
#include <span>
#include <utility>

namespace turmeric::streams {

using std::chrono::milliseconds;

namespace {

constexpr auto kOpenedAt = "opened_at_unix_ms";
constexpr auto kOrigins = "origins";
constexpr auto kService = "service";
constexpr auto kVersion = "version";
constexpr auto kStreams = "streams";
constexpr qsizetype kBytesEach = sizeof(uint64_t);
/** Largest time that a double represents exactly. */
constexpr int64_t kMaxUnixMs = int64_t{1} << 53;

QString EncodeStreams(std::span<const uint64_t> streams) {
  QByteArray bytes(static_cast<qsizetype>(streams.size()) * kBytesEach, '\0');
  char* to = bytes.data();
  for (const uint64_t stream : streams) {
    qToLittleEndian(stream, to);
    to += kBytesEach;
  }
  return QString::fromLatin1(bytes.toBase64());
}

std::optional<std::vector<uint64_t>> DecodeStreams(const QJsonValue& text) {
  const auto decoded = QByteArray::fromBase64Encoding(
      text.toString().toLatin1(), QByteArray::AbortOnBase64DecodingErrors);
  const qsizetype size = decoded.decoded.size();
  if (!decoded || size == 0 || size % kBytesEach != 0) return std::nullopt;
  std::vector<uint64_t> streams(static_cast<size_t>(size / kBytesEach));
  qFromLittleEndian<uint64_t>(decoded.decoded.constData(), size / kBytesEach,
                              streams.data());
  return streams;
}

}  // namespace

size_t OriginSegment::size() const {
  return std::accumulate(
      streams.begin(), streams.end(), size_t{0},
      [](size_t sum, const auto& entry) { return sum + entry.second.size(); });
}

uint64_t Fingerprint(const StreamId& id) {
  // Organisation and attempt are hashed one after the other, as a joined text
  // could be split in several ways.
  const uint64_t seed =
      XXH3_64bits(id.organisation.data(), id.organisation.size());
  return XXH3_64bits_withSeed(id.attempt_id.data(), id.attempt_id.size(), seed);
}

QJsonObject EncodeSegment(const OriginSegment& segment) {
  QJsonArray origins;
  for (const auto& [origin, streams] : segment.streams) {
    origins.append(
        QJsonObject{{kService, QString::fromStdString(origin.service)},
                    {kVersion, QString::fromStdString(origin.version)},
                    {kStreams, EncodeStreams(streams)}});
  }
  const auto opened_at = std::chrono::floor<milliseconds>(segment.opened_at);
  return {
      {kOpenedAt, static_cast<qint64>(opened_at.time_since_epoch().count())},
      {kOrigins, origins}};
}

std::optional<OriginSegment> DecodeSegment(const QJsonObject& spec) {
  const int64_t opened_at = spec[kOpenedAt].toInteger(-1);
  if (opened_at < 0 || opened_at > kMaxUnixMs) return std::nullopt;
  if (!spec[kOrigins].isArray()) return std::nullopt;
  OriginSegment segment{.opened_at = std::chrono::system_clock::time_point(
                            milliseconds(opened_at)),
                        .streams = {}};
  size_t size = 0;
  for (const QJsonValue item : spec[kOrigins].toArray()) {
    auto streams = DecodeStreams(item[kStreams]);
    if (!streams || !item[kVersion].isString()) return std::nullopt;
    StreamOrigin origin{item[kService].toString().toStdString(),
                        item[kVersion].toString().toStdString()};
    size += streams->size();
    if (origin.service.empty() || size > kMaxSegmentStreams) {
      return std::nullopt;
    }
    const bool is_new =
        segment.streams.try_emplace(std::move(origin), std::move(*streams))
            .second;
    if (!is_new) return std::nullopt;
  }
  return segment;
}

}  // namespace turmeric::streams
