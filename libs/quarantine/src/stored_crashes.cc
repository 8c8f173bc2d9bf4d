#include "turmeric/quarantine/stored_crashes.h"

#include <QJsonArray>
#include <algorithm>
#include <iterator>

#include "turmeric/quarantine/fingerprint.h"
#include "turmeric/quarantine/request_traits.h"

namespace turmeric::quarantine {

using std::chrono::milliseconds;

namespace {

constexpr auto kCrashes = "crashes";
constexpr auto kService = "service";
constexpr auto kUpstream = "upstream";
constexpr auto kAt = "at_unix_ms";
constexpr auto kProgressed = "progressed";
constexpr auto kWork = "work";
constexpr auto kParts = "parts";

int64_t UnixMs(Clock::time_point at, const ClockReading& now) {
  const auto wall = now.wall - (now.steady - at);
  return std::chrono::duration_cast<milliseconds>(wall.time_since_epoch())
      .count();
}

Clock::time_point SteadyTime(int64_t unix_ms, const ClockReading& now) {
  const auto now_ms =
      std::chrono::duration_cast<milliseconds>(now.wall.time_since_epoch());
  // A time far from the present must not overflow the clock.
  constexpr int64_t kMaxAgeMs = 365LL * 24 * 60 * 60 * 1000;
  const int64_t age_ms =
      now_ms.count() - std::clamp<int64_t>(unix_ms, 0, now_ms.count());
  return now.steady - milliseconds(std::min(age_ms, kMaxAgeMs));
}

/** @return the texts of a list; empty if the value is none. */
std::vector<std::string> Texts(const QJsonValue& list) {
  std::vector<std::string> texts;
  const QJsonArray items = list.toArray();
  std::ranges::transform(
      items, std::back_inserter(texts),
      [](const QJsonValue& item) { return item.toString().toStdString(); });
  return texts;
}

}  // namespace

std::string StoredName(const std::string& trait) {
  if (!IsPartKey(trait)) return trait;
  return "part-" + Fingerprint({.caller = {},
                                .method = {},
                                .host = {},
                                .target = {},
                                .body = trait});
}

QJsonObject EncodeCrashes(std::span<const Crash> crashes,
                          const ClockReading& now) {
  QJsonArray list;
  for (const Crash& crash : crashes) {
    QJsonArray parts;
    for (const std::string& part : crash.parts) {
      parts.append(QString::fromStdString(part));
    }
    list.append(QJsonObject{{kWork, QString::fromStdString(crash.fingerprint)},
                            {kParts, parts},
                            {kService, QString::fromStdString(crash.service)},
                            {kUpstream, QString::fromStdString(crash.upstream)},
                            {kAt, static_cast<qint64>(UnixMs(crash.at, now))},
                            {kProgressed, crash.progressed}});
  }
  return {{kCrashes, list}};
}

std::optional<std::vector<Crash>> DecodeCrashes(const std::string& name,
                                                const QJsonObject& spec,
                                                const ClockReading& now) {
  if (name.empty() || !spec[kCrashes].isArray()) return std::nullopt;
  std::vector<Crash> crashes;
  for (const QJsonValue item : spec[kCrashes].toArray()) {
    const std::string fingerprint = item[kWork].toString().toStdString();
    // Objects of earlier releases are named after the only fingerprint.
    Crash crash{.fingerprint = fingerprint.empty() ? name : fingerprint,
                .service = item[kService].toString().toStdString(),
                .upstream = item[kUpstream].toString().toStdString(),
                .at = SteadyTime(item[kAt].toInteger(), now),
                .progressed = item[kProgressed].toBool(),
                .parts = Texts(item[kParts])};
    const bool readable = !crash.service.empty() && !crash.upstream.empty() &&
                          item[kAt].isDouble();
    if (readable) crashes.push_back(std::move(crash));
  }
  return crashes;
}

}  // namespace turmeric::quarantine
