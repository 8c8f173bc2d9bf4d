#include "turmeric/gateway/gateway_service.h"

#include <easylogging++.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QUrlQuery>

#include "turmeric/config/settings_layer.h"
#include "turmeric/gateway/claim_table.h"
#include "turmeric/gateway/pipeline_run.h"
#include "turmeric/gateway/settings_service.h"
#include "turmeric/gateway/store_service.h"
#include "turmeric/http/sse.h"
#include "turmeric/kernel/kernel.h"

namespace turmeric::gateway {

using utils::Errc;
using utils::RunState;

namespace {

constexpr std::string_view kRunPrefix = "/v1/pipelines/";
constexpr std::string_view kConfigPrefix = "/v1/config/";
/** Store prefix of the platform's instance list: "upstreams/<ip:port>". */
constexpr std::string_view kInstanceListPrefix = "upstreams/";

QByteArray ErrorBody(const std::string& request_id, Errc code,
                     const std::string& detail, RunState state) {
  QJsonObject o{{"request_id", QString::fromStdString(request_id)},
                {"state", QString::fromUtf8(utils::RunStateName(state).data())},
                {"code", static_cast<int>(code)},
                {"error", QString::fromUtf8(utils::ErrcName(code).data())},
                {"detail", QString::fromStdString(detail)}};
  return QJsonDocument(o).toJson(QJsonDocument::Compact);
}

QByteArray AnswerBody(const std::string& request_id,
                      const config::ResolvedSettings& s, const RunAnswer& a) {
  QJsonArray stages;
  for (const StageRecord& r : a.stages) {
    stages.append(QJsonObject{{"stage", QString::fromStdString(r.stage)},
                              {"upstream", QString::fromStdString(r.upstream)},
                              {"ms", r.seconds * 1000.0},
                              {"tokens", r.tokens},
                              {"attempts", r.attempts}});
  }
  QJsonObject o{
      {"request_id", QString::fromStdString(request_id)},
      {"business", QString::fromStdString(s.business)},
      {"pipeline", QString::fromStdString(s.pipeline)},
      {"organisation", QString::fromStdString(s.organisation)},
      {"state", QString::fromUtf8(utils::RunStateName(a.state).data())},
      {"code", static_cast<int>(a.code)},
      {"error", QString::fromUtf8(utils::ErrcName(a.code).data())},
      {"output", QString::fromStdString(a.output)},
      {"stages", stages}};
  if (!a.detail.empty()) o["detail"] = QString::fromStdString(a.detail);
  return QJsonDocument(o).toJson(QJsonDocument::Compact);
}

}  // namespace

GatewayService::GatewayService(config::InstanceSettings settings)
    : settings_(std::move(settings)) {
  constexpr int kNetworkManagers = 4;
  for (int i = 0; i < kNetworkManagers; ++i) {
    networks_.push_back(std::make_unique<QNetworkAccessManager>());
    fresh_networks_.push_back(std::make_unique<QNetworkAccessManager>());
  }
}

void GatewayService::Kill() {
  killed_ = true;
  admission_.StartDrain();
  for (QTcpServer* s : server_.servers()) s->close();
  for (QTcpSocket* s : server_.findChildren<QTcpSocket*>()) s->abort();
}

GatewayService::~GatewayService() = default;

utils::Result<void> GatewayService::Start(kernel::Kernel& kernel) {
  settings_service_ = kernel.Find<SettingsService>("settings");
  store_service_ = kernel.Find<StoreService>("store");
  if (!settings_service_ || !store_service_) {
    return utils::Fail(Errc::kConfigInvalid,
                       "gateway needs store and settings");
  }
  spans_ = std::make_unique<utils::SpanSink>(settings_.trace_path);
  claims_ =
      std::make_unique<ClaimTable>(store_service_->store(), settings_.name);
  using M = QHttpServerRequest::Method;
  server_.Route(
      M::Post, std::string(kRunPrefix),
      [this](const auto& r, auto&& w) { HandleRun(r, std::move(w)); });
  server_.Route(
      M::Get, std::string(kConfigPrefix),
      [this](const auto& r, auto&& w) { HandleConfigGet(r, std::move(w)); });
  server_.Route(
      M::Put, std::string(kConfigPrefix),
      [this](const auto& r, auto&& w) { HandleConfigPut(r, std::move(w)); });
  server_.Route(M::Get, "/metrics", [this](const auto&, auto&& w) {
    const QByteArray text = QByteArray::fromStdString(metrics_.Render());
    w.WriteWhole(200, "text/plain; version=0.0.4", text);
  });
  server_.Route(M::Get, "/healthz", [this](const auto&, auto&& w) {
    http::WriteJson(w, admission_.draining() ? 503 : 200,
                    admission_.draining() ? R"({"state":"draining"})"
                                          : R"({"state":"serving"})");
  });
  server_.Route(M::Post, "/admin/drain", [this](const auto&, auto&& w) {
    Drain([] {});
    http::WriteJson(w, 202, R"({"state":"draining"})");
  });
  port_ = server_.listen(
      QHostAddress(QString::fromStdString(settings_.listen_address)),
      settings_.listen_port);
  if (port_ == 0) {
    return utils::Fail(Errc::kIniInvalid,
                       "cannot listen on " + settings_.listen_address + ":" +
                           std::to_string(settings_.listen_port));
  }
  instance_list_ = std::make_unique<store::ResumableWatch>(
      store_service_->store(), std::string(kInstanceListPrefix),
      [this](const store::StoredObject& entry) {
        // The list lags the upstream's own state; our other signal is the
        // upstream's x-leaving refusal. Whichever comes first stops new work.
        const std::string address =
            entry.key.substr(kInstanceListPrefix.size());
        const bool leaving =
            !entry.deleted && entry.value.find("leaving") != std::string::npos;
        pools_.SetLeaving(address, leaving);
        LOG(INFO) << "event=upstream_listed address=" << address
                  << " state=" << (leaving ? "leaving" : "live");
      });
  if (!instance_list_->Arm()) {
    LOG(WARNING) << "event=instance_list_watch_down";
  }
  recover_.setInterval(1000);
  QObject::connect(&recover_, &QTimer::timeout, [this] {
    claims_->Recover();
    if (!instance_list_->armed()) instance_list_->Arm();
  });
  recover_.start();
  LOG(INFO) << "event=serving instance=" << settings_.name
            << " zone=" << settings_.zone << " port=" << port_;
  return boost::outcome_v2::success();
}

void GatewayService::Stop() { recover_.stop(); }

void GatewayService::Drain(std::function<void()> done) {
  if (!admission_.draining()) {
    LOG(INFO) << "event=draining inflight=" << admission_.inflight();
  }
  admission_.StartDrain();
  const auto until = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(settings_.drain_timeout_ms);
  auto* poll = new QTimer();
  poll->setInterval(20);
  QObject::connect(poll, &QTimer::timeout, [this, poll, until, done] {
    if (admission_.inflight() > 0 && std::chrono::steady_clock::now() < until) {
      return;
    }
    LOG(INFO) << "event=drained inflight=" << admission_.inflight();
    poll->stop();
    poll->deleteLater();
    done();
  });
  poll->start();
}

void GatewayService::HandleRun(const QHttpServerRequest& request,
                               http::Responder&& responder) {
  const auto received = std::chrono::steady_clock::now();
  const std::string request_id =
      settings_.name + "-" + std::to_string(++next_request_);
  auto refuse = [&](Errc code, const std::string& detail, RunState state) {
    metrics_.OnRequest("-", "-", utils::RunStateName(state),
                       utils::ErrcName(code), 0, false);
    std::vector<std::pair<QByteArray, QByteArray>> headers = {
        {"x-request-id", QByteArray::fromStdString(request_id)}};
    QJsonObject body =
        QJsonDocument::fromJson(ErrorBody(request_id, code, detail, state))
            .object();
    if (const int after_ms = utils::RetryAfterMs(code); after_ms >= 0) {
      constexpr int kMsPerSecond = 1000;
      headers.emplace_back(
          "Retry-After",
          QByteArray::number((after_ms + kMsPerSecond - 1) / kMsPerSecond));
      body["retry_after_ms"] = after_ms;
    }
    http::WriteJson(responder, utils::HttpStatus(code),
                    QJsonDocument(body).toJson(QJsonDocument::Compact),
                    headers);
  };
  // Path: /v1/pipelines/<business>/<pipeline>:run
  const QString path = request.url().path().mid(kRunPrefix.size());
  const QStringList parts = path.split('/');
  if (parts.size() != 2 || !parts[1].endsWith(":run")) {
    refuse(Errc::kBadRequest, "want /v1/pipelines/<business>/<pipeline>:run",
           RunState::kNotRun);
    return;
  }
  QJsonParseError parse_error{};
  const QJsonDocument doc =
      QJsonDocument::fromJson(request.body(), &parse_error);
  if (parse_error.error != QJsonParseError::NoError || !doc.isObject()) {
    refuse(Errc::kBadRequest, "body must be a JSON object", RunState::kNotRun);
    return;
  }
  const QJsonObject body = doc.object();
  const std::string business = parts[0].toStdString();
  const std::string pipeline = parts[1].chopped(4).toStdString();
  const std::string organisation =
      body.value("organisation").toString().toStdString();
  auto resolved =
      settings_service_->tree().Resolve(business, pipeline, organisation);
  if (!resolved) {
    refuse(resolved.error().code, resolved.error().detail, RunState::kNotRun);
    return;
  }
  config::ResolvedSettings s = std::move(resolved).value();
  const int deadline_ms = body.value("deadline_ms").toInt(s.deadline_ms);
  if (deadline_ms <= 0 || deadline_ms > s.deadline_ms) {
    refuse(Errc::kBadDeadline,
           "deadline_ms must be in (0, " + std::to_string(s.deadline_ms) + "]",
           RunState::kNotRun);
    return;
  }
  const QByteArray key_header = request.value("idempotency-key");
  const bool idempotent = body.value("idempotent").toBool(true);
  const std::string idempotency_key =
      key_header.isEmpty()
          ? body.value("idempotency_key").toString().toStdString()
          : key_header.toStdString();
  if (!idempotent && idempotency_key.empty()) {
    refuse(Errc::kMissingIdempotencyKey,
           "a non-idempotent request needs an Idempotency-Key",
           RunState::kNotRun);
    return;
  }
  if (const Errc admit = admission_.TryAdmit(s, deadline_ms);
      admit != Errc::kOk) {
    // Guard: an earlier attempt with this idempotency key may have run on
    // another instance (killed before it answered). This attempt has not
    // looked at the claim, so it cannot say "not run" for the request; it
    // says "unknown" and when to come back with the same key.
    refuse(admit, "not admitted; this attempt ran nothing",
           idempotent ? RunState::kNotRun : RunState::kUnknown);
    return;
  }
  Claim claim;
  if (!idempotent) {
    const int64_t expires = utils::NowUnixMicros() / 1000 + deadline_ms;
    claim = claims_->Acquire(business, idempotency_key, expires);
    if (claim.state != ClaimState::kOwned) {
      admission_.Release(s);
      if (claim.state == ClaimState::kDone) {
        http::WriteJson(
            responder, 200, QByteArray::fromStdString(claim.result),
            {{"x-request-id", QByteArray::fromStdString(request_id)},
             {"x-replayed", "1"}});
        return;
      }
      if (claim.state == ClaimState::kInFlightElsewhere) {
        refuse(
            Errc::kDuplicateInFlight,
            "this idempotency key is claimed by another attempt; its outcome "
            "is not known here",
            RunState::kUnknown);
        return;
      }
      // Guard: with the store unreadable we cannot tell whether an earlier
      // attempt with this key ran (found by the faults scenario: a retry
      // after a killed instance was told "not run" for a printed notice).
      refuse(Errc::kStoreUnavailable,
             "cannot read the idempotency key's claim; this attempt ran "
             "nothing, an earlier one may have",
             RunState::kUnknown);
      return;
    }
  }
  RunRequest run;
  run.request_id = request_id;
  run.idempotency_key = idempotency_key;
  run.settings = s;
  run.input = body.value("input").toString().toStdString();
  run.max_tokens = body.value("max_tokens").toInt(16);
  run.stream = body.value("stream").toBool(false);
  run.deadline = received + std::chrono::milliseconds(deadline_ms);
  run.trace = utils::ChildContext(
      utils::ParseTraceparent(request.value("traceparent").toStdString()));
  const int64_t start_us = utils::NowUnixMicros();
  auto held =
      std::make_shared<std::optional<http::Responder>>(std::move(responder));
  if (run.stream) {
    (*held)->StartStream(
        "text/event-stream",
        {{"x-request-id", QByteArray::fromStdString(request_id)}});
  }
  auto on_token = [held](const QByteArray& word) {
    if (*held) {
      QJsonObject ev{{"token", QString::fromUtf8(word)}};
      (*held)->WriteChunk(
          http::SseEvent(QJsonDocument(ev).toJson(QJsonDocument::Compact)));
    }
  };
  const bool stream = run.stream;
  auto on_done = [this, held, s, request_id, received, deadline_ms, claim,
                  idempotent, stream, start_us,
                  trace = run.trace](const RunAnswer& a) {
    // A killed process records nothing: its claims stay as they were.
    if (killed_) return;
    const QByteArray body = AnswerBody(request_id, s, a);
    if (!idempotent) {
      if (a.state == RunState::kRan) {
        claims_->Complete(claim, body.toStdString());
      } else if (a.state == RunState::kNotRun || a.state == RunState::kFailed) {
        // Nothing with effects ran: free the key so the caller may retry.
        claims_->Release(claim);
      }
    }
    admission_.Release(s);
    const double seconds = std::chrono::duration<double>(
                               std::chrono::steady_clock::now() - received)
                               .count();
    metrics_.OnRequest(
        s.business, s.pipeline, utils::RunStateName(a.state),
        utils::ErrcName(a.code), seconds,
        a.state == RunState::kRan && seconds * 1000 <= deadline_ms);
    spans_->Export({trace, "", "request." + s.pipeline, start_us,
                    utils::NowUnixMicros() - start_us,
                    "\"business\":\"" + s.business + "\",\"state\":\"" +
                        std::string(utils::RunStateName(a.state)) + "\""});
    if (!*held) return;
    if (stream) {
      (*held)->WriteChunk(http::SseEvent(body));
      (*held)->EndStream();
    } else {
      http::WriteJson(
          **held, a.code == Errc::kOk ? 200 : utils::HttpStatus(a.code), body,
          {{"x-request-id", QByteArray::fromStdString(request_id)}});
    }
    held->reset();
  };
  RunContext ctx{networks_[next_request_ % networks_.size()].get(),
                 fresh_networks_[next_request_ % fresh_networks_.size()].get(),
                 &pools_,
                 &metrics_,
                 spans_.get(),
                 &rng_};
  auto* runner = new PipelineRun(ctx, std::move(run), on_token, on_done);
  (*held)->OnGone([runner = QPointer<PipelineRun>(runner)] {
    if (runner) runner->Cancel();
  });
  runner->Start();
}

void GatewayService::HandleConfigGet(const QHttpServerRequest& request,
                                     http::Responder&& responder) {
  const std::string key =
      "config/" + request.url().path().mid(kConfigPrefix.size()).toStdString();
  store::ObjectStore& store = store_service_->store();
  if (key == "config/" || key.ends_with("/")) {
    auto list = store.List(key);
    if (!list) {
      http::WriteJson(responder, utils::HttpStatus(list.error().code),
                      ErrorBody("", list.error().code, list.error().detail,
                                RunState::kNotRun));
      return;
    }
    QJsonArray items;
    for (const auto& o : list.value()) {
      items.append(QJsonObject{{"key", QString::fromStdString(o.key)},
                               {"version", double(o.version)},
                               {"revision", double(o.revision)}});
    }
    http::WriteJson(responder, 200,
                    QJsonDocument(QJsonObject{{"items", items}}).toJson());
    return;
  }
  auto got = store.Get(key);
  if (!got) {
    http::WriteJson(
        responder, utils::HttpStatus(got.error().code),
        ErrorBody("", got.error().code, got.error().detail, RunState::kNotRun));
    return;
  }
  QJsonObject o{{"key", QString::fromStdString(key)},
                {"version", double(got.value().version)},
                {"revision", double(got.value().revision)},
                {"value", QString::fromStdString(got.value().value)}};
  http::WriteJson(responder, 200,
                  QJsonDocument(o).toJson(QJsonDocument::Compact));
}

void GatewayService::HandleConfigPut(const QHttpServerRequest& request,
                                     http::Responder&& responder) {
  const std::string key =
      "config/" + request.url().path().mid(kConfigPrefix.size()).toStdString();
  auto fail = [&](Errc code, const std::string& detail) {
    http::WriteJson(responder, utils::HttpStatus(code),
                    ErrorBody("", code, detail, RunState::kNotRun));
  };
  const QByteArray if_match = request.value("if-match");
  bool ok = false;
  const int64_t expected = if_match.toLongLong(&ok);
  // Guard: racing operators. Without a version precondition the second
  // writer silently overwrites the first; requiring If-Match makes the
  // loser see config_version_conflict and re-read.
  if (!ok) {
    fail(Errc::kConfigVersionConflict,
         "If-Match: <version> required (0 to create)");
    return;
  }
  const std::string text = request.body().toStdString();
  auto layer = config::ParseLayer(text);
  if (!layer) {
    fail(layer.error().code, layer.error().detail);
    return;
  }
  auto put = store_service_->store().Put(
      key, config::RenderLayer(layer.value()), expected);
  if (!put) {
    const Errc code = put.error().code == Errc::kStoreConflict
                          ? Errc::kConfigVersionConflict
                          : put.error().code;
    fail(code, put.error().detail);
    return;
  }
  LOG(INFO) << "event=config_accepted key=" << key
            << " version=" << put.value().version
            << " revision=" << put.value().revision;
  QJsonObject o{{"key", QString::fromStdString(key)},
                {"version", double(put.value().version)},
                {"revision", double(put.value().revision)}};
  http::WriteJson(responder, 200,
                  QJsonDocument(o).toJson(QJsonDocument::Compact));
}

}  // namespace turmeric::gateway
