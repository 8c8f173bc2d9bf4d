#include "details/claim_record.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <array>
#include <utility>

namespace turmeric::gateway::details {

namespace {

constexpr std::array<std::pair<ClaimPhase, const char*>, 3> kPhaseNames = {{
    {ClaimPhase::kClaimed, "claimed"},
    {ClaimPhase::kDone, "done"},
    {ClaimPhase::kReleased, "released"},
}};

std::string StringField(const QJsonObject& o, const char* field) {
  return o.value(QLatin1String(field)).toString().toStdString();
}

}  // namespace

std::string EncodeClaim(const ClaimRecord& r) {
  const auto phase = std::ranges::find(
      kPhaseNames, r.phase, &std::pair<ClaimPhase, const char*>::first);
  const QJsonObject o{
      {"state", phase == kPhaseNames.end() ? "" : phase->second},
      {"token", QString::fromStdString(r.token)},
      {"instance", QString::fromStdString(r.instance)},
      {"fingerprint", QString::fromStdString(r.fingerprint)},
      {"keep_until_unix_ms", static_cast<double>(r.keep_until_unix_ms)},
      {"result", QString::fromStdString(r.result)}};
  return QJsonDocument(o).toJson(QJsonDocument::Compact).toStdString();
}

ClaimRecord DecodeClaim(std::string_view text) {
  const auto o =
      QJsonDocument::fromJson(QByteArray(text.data(), text.size())).object();
  const std::string name = StringField(o, "state");
  const auto phase = std::ranges::find_if(
      kPhaseNames, [&](const auto& entry) { return name == entry.second; });
  return {phase == kPhaseNames.end() ? ClaimPhase::kMalformed : phase->first,
          StringField(o, "token"),
          StringField(o, "instance"),
          StringField(o, "fingerprint"),
          static_cast<int64_t>(o.value("keep_until_unix_ms").toDouble()),
          StringField(o, "result")};
}

}  // namespace turmeric::gateway::details
