#include "turmeric/gateway/answer_json.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "turmeric/gateway/pipeline_run.h"

namespace turmeric::gateway {

using utils::Errc;
using utils::RunState;

namespace {

QString Text(std::string_view s) {
  return QString::fromUtf8(s.data(), s.size());
}

/** What every answer to a run states. */
QJsonObject Head(std::string_view request_id, Errc code, RunState state,
                 int retry_after_ms) {
  QJsonObject o{{"request_id", Text(request_id)},
                {"state", Text(utils::RunStateName(state))},
                {"code", static_cast<int>(code)},
                {"error", Text(utils::ErrcName(code))}};
  if (retry_after_ms >= 0) o["retry_after_ms"] = retry_after_ms;
  return o;
}

}  // namespace

QByteArray ErrorJson(std::string_view request_id, Errc code,
                     std::string_view detail, RunState state,
                     int retry_after_ms) {
  QJsonObject o = Head(request_id, code, state, retry_after_ms);
  o["detail"] = Text(detail);
  return QJsonDocument(o).toJson(QJsonDocument::Compact);
}

QByteArray AnswerJson(std::string_view request_id,
                      const config::ResolvedSettings& settings,
                      const RunAnswer& answer, int retry_after_ms) {
  QJsonArray stages;
  for (const StageRecord& r : answer.stages) {
    constexpr double kMsPerSecond = 1000.0;
    stages.append(QJsonObject{{"stage", Text(r.stage)},
                              {"upstream", Text(r.upstream)},
                              {"ms", r.seconds * kMsPerSecond},
                              {"tokens", r.tokens},
                              {"attempts", r.attempts}});
  }
  QJsonObject o = Head(request_id, answer.code, answer.state, retry_after_ms);
  o["business"] = Text(settings.business);
  o["pipeline"] = Text(settings.pipeline);
  o["organisation"] = Text(settings.organisation);
  o["output"] = Text(answer.output);
  o["stages"] = stages;
  if (!answer.detail.empty()) o["detail"] = Text(answer.detail);
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
