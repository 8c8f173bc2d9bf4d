#include "traffic_mix.h"

#include <QJsonDocument>
#include <QJsonObject>

#include "load_phase.h"
#include "turmeric/gateway/claim.h"

namespace turmeric::ctl {

namespace {

constexpr Flow kMix[] = {
    {"nilelight", "translate-notice", "nile-hotels", true},
    {"arvoredo", "pruning-note", "camara-porto", true},
    {"nilelight", "translate-notice", "nile-clinics", true},
    {"arvoredo", "pruning-note", "parish-bonfim", true},
    {"nilelight", "print-notice", "nile-hotels", false},
    {"arvoredo", "felling-recommendation", "parish-bonfim", false},
};

std::string CallerKey(int run, int index) {
  return "k" + std::to_string(run) + "-" + std::to_string(index);
}

}  // namespace

std::span<const Flow> TrafficMix() { return kMix; }

const Flow& FlowOf(int index) { return kMix[index % std::size(kMix)]; }

LoadRequest MixRequest(const QString& base_url, int run, int index) {
  const Flow& f = FlowOf(index);
  const std::string nonce = "#n" + std::to_string(index);
  QJsonObject body{{"organisation", f.organisation},
                   {"input", QString::fromStdString("notice " + nonce)},
                   {"max_tokens", 4},
                   {"deadline_ms", kDeadlineMs}};
  QList<QPair<QByteArray, QByteArray>> headers;
  if (!f.idempotent) {
    body["idempotent"] = false;
    headers.append(
        {"Idempotency-Key", QByteArray::fromStdString(CallerKey(run, index))});
  }
  return {base_url + "/v1/pipelines/" + f.business + "/" + f.pipeline + ":run",
          QJsonDocument(body).toJson(QJsonDocument::Compact), headers, nonce,
          f.business};
}

std::string MixKey(int run, int index) {
  const Flow& f = FlowOf(index);
  return gateway::QualifiedKey(f.business, f.organisation, f.pipeline,
                               CallerKey(run, index));
}

}  // namespace turmeric::ctl
