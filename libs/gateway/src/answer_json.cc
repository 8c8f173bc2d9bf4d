#include "turmeric/gateway/answer_json.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "turmeric/gateway/pipeline_run.h"

namespace turmeric::gateway {

using utils::Errc;
using utils::RunState;

namespace {

QString ToQString(std::string_view s) {
  return QString::fromUtf8(s.data(), s.size());
}

/** @return the fields common to all answers. */
QJsonObject CommonFields(std::string_view request_id, Errc code, RunState state,
                         int retry_after_ms) {
  QJsonObject o{{"request_id", ToQString(request_id)},
                {"state", ToQString(utils::RunStateName(state))},
                {"code", static_cast<int>(code)},
                {"error", ToQString(utils::ErrcName(code))}};
  if (retry_after_ms >= 0) o["retry_after_ms"] = retry_after_ms;
  return o;
}

}  // namespace

QByteArray ErrorJson(std::string_view request_id, Errc code,
                     std::string_view detail, RunState state,
                     int retry_after_ms) {
  QJsonObject o = CommonFields(request_id, code, state, retry_after_ms);
  o["detail"] = ToQString(detail);
  return QJsonDocument(o).toJson(QJsonDocument::Compact);
}

QByteArray AnswerJson(std::string_view request_id,
                      const config::ResolvedSettings& settings,
                      const RunAnswer& answer, int retry_after_ms) {
  QJsonArray stages;
  for (const StageRecord& r : answer.stages) {
    constexpr double kMsPerSecond = 1000.0;
    stages.append(QJsonObject{{"stage", ToQString(r.stage)},
                              {"upstream", ToQString(r.upstream)},
                              {"ms", r.seconds * kMsPerSecond},
                              {"tokens", r.tokens},
                              {"attempts", r.attempts}});
  }
  QJsonObject o =
      CommonFields(request_id, answer.code, answer.state, retry_after_ms);
  o["business"] = ToQString(settings.business);
  o["pipeline"] = ToQString(settings.pipeline);
  o["organisation"] = ToQString(settings.organisation);
  o["output"] = ToQString(answer.output);
  o["stages"] = stages;
  if (!answer.detail.empty()) o["detail"] = ToQString(answer.detail);
  return QJsonDocument(o).toJson(QJsonDocument::Compact);
}

http::Headers AnswerHeaders(std::string_view request_id, int retry_after_ms) {
  http::Headers headers = {
      {"x-request-id", QByteArray(request_id.data(), request_id.size())}};
  if (retry_after_ms >= 0) {
    constexpr int kMsPerSecond = 1000;
    headers.emplace_back(
        "Retry-After",
        QByteArray::number((retry_after_ms + kMsPerSecond - 1) / kMsPerSecond));
  }
  return headers;
}

}  // namespace turmeric::gateway
