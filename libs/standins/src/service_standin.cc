#include "turmeric/standins/service_standin.h"

#include <QJsonDocument>
#include <QJsonObject>

#include "turmeric/http/http_request.h"
#include "turmeric/http/json_text.h"

namespace turmeric::standins {

ServiceStandin::ServiceStandin(double delay_ms) : delay_ms_(delay_ms) {
  server_.Route("POST", "/v1/stage",
                [this](const http::HttpRequest& r, http::Responder&& w) {
                  HandleStage(r, std::move(w));
                });
  server_.Route("GET", "/admin/stats",
                [this](const http::HttpRequest&, http::Responder&& w) {
                  QJsonObject o{
                      {"executed", static_cast<double>(executed_)},
                      {"doubled", static_cast<double>(duplicate_keys_)}};
                  http::WriteJson(w, 200, QJsonDocument(o).toJson());
                });
  server_.Route("POST", "/admin/faults",
                [this](const http::HttpRequest& r, http::Responder&& w) {
                  faults_ = ParseFaults(r.body());
                  http::WriteJson(w, 200, "{}");
                });
  load_timer_.setInterval(200);
  connect(&load_timer_, &QTimer::timeout, this,
          [this] { reported_depth_ = active_; });
  load_timer_.start();
}

uint16_t ServiceStandin::Listen(uint16_t port) {
  return server_.Listen({"127.0.0.1", port});
}

void ServiceStandin::SimulateCrash() { server_.AbortConnections(); }

void ServiceStandin::HandleStage(const http::HttpRequest& request,
                                 http::Responder&& responder) {
  const QJsonObject body = QJsonDocument::fromJson(request.body()).object();
  const QByteArray request_id = request.value("x-request-id");
  if (faults_.leaving) {
    ++refused_leaving_;
    http::WriteJson(responder, 503, R"({"error":"leaving"})",
                    {{"x-leaving", "1"}, {"x-request-id", request_id}});
    return;
  }
  if (std::uniform_real_distribution<>(0, 1)(rng_) < faults_.fail_rate) {
    http::WriteJson(responder, 500, R"({"error":"injected"})",
                    {{"x-request-id", request_id}});
    return;
  }
  const std::string key = request.value("idempotency-key").toStdString();
  ++active_;
  auto shared_responder =
      std::make_shared<std::optional<http::Responder>>(std::move(responder));
  constexpr double kStallFactor = 20;
  const bool stalls =
      std::uniform_real_distribution<>(0, 1)(rng_) < faults_.stall_rate;
  const double delay = delay_ms_ * (1.0 + active_ / 8.0) * faults_.slow_factor *
                       (stalls ? kStallFactor : 1.0);
  QTimer::singleShot(
      static_cast<int>(delay + 0.5), this,
      [this, shared_responder, request_id, key, body] {
        --active_;
        ++executed_;
        // Two executions with one key mean that the sender has violated the
        // at-most-once guarantee.
        if (!key.empty() && ++executions_[key] == 2) ++duplicate_keys_;
        if (std::uniform_real_distribution<>(0, 1)(rng_) <
            faults_.lose_answer_rate) {
          (*shared_responder)->Abort();
          shared_responder->reset();
          return;
        }
        const std::string output =
            body.value("stage").toString().toStdString() + "(" +
            body.value("input").toString().toStdString() + ")";
        http::WriteJson(
            **shared_responder, 200,
            http::JsonWithText({{"request_id", QString(request_id)}}, "output",
                               output),
            {{"x-request-id", request_id},
             {"x-queue-depth", QByteArray::number(reported_depth_)}});
        shared_responder->reset();
      });
}

}  // namespace turmeric::standins
