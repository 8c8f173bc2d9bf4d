#include "turmeric/quarantine/stored_crashes.h"

#include <QJsonArray>
#include <algorithm>

namespace turmeric::quarantine {

using std::chrono::milliseconds;

namespace {

constexpr auto kCrashes = "crashes";
constexpr auto kService = "service";
constexpr auto kUpstream = "upstream";
constexpr auto kAt = "at_unix_ms";
constexpr auto kProgressed = "progressed";

int64_t UnixMs(Clock::time_point at, const ClockReading& now) {
  const auto wall = now.wall - (now.steady - at);
  return std::chrono::duration_cast<milliseconds>(wall.time_since_epoch())
      .count();
}

Clock::time_point SteadyTime(int64_t unix_ms, const ClockReading& now) {
  const auto now_ms =
      std::chrono::duration_cast<milliseconds>(now.wall.time_since_epoch());
  const auto age = std::max(milliseconds(0), now_ms - milliseconds(unix_ms));
  return now.steady - age;
}

}  // namespace

QJsonObject EncodeCrashes(std::span<const Crash> crashes,
                          const ClockReading& now) {
  QJsonArray list;
  for (const Crash& crash : crashes) {
    list.append(QJsonObject{{kService, QString::fromStdString(crash.service)},
                            {kUpstream, QString::fromStdString(crash.upstream)},
                            {kAt, static_cast<qint64>(UnixMs(crash.at, now))},
                            {kProgressed, crash.progressed}});
  }
  return {{kCrashes, list}};
}

std::optional<std::vector<Crash>> DecodeCrashes(const std::string& fingerprint,
                                                const QJsonObject& spec,
                                                const ClockReading& now) {
  if (fingerprint.empty() || !spec[kCrashes].isArray()) return std::nullopt;
  std::vector<Crash> crashes;
  for (const QJsonValue item : spec[kCrashes].toArray()) {
    Crash crash{.fingerprint = fingerprint,
                .service = item[kService].toString().toStdString(),
                .upstream = item[kUpstream].toString().toStdString(),
                .at = SteadyTime(item[kAt].toInteger(), now),
                .progressed = item[kProgressed].toBool()};
    const bool readable = !crash.service.empty() && !crash.upstream.empty() &&
                          item[kAt].isDouble();
    if (readable) crashes.push_back(std::move(crash));
  }
  return crashes;
}

}  // namespace turmeric::quarantine
