#include "turmeric/gateway/pipeline_run.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>

#include "turmeric/gateway/gateway_metrics.h"
#include "turmeric/gateway/retry_budget.h"
#include "turmeric/gateway/upstream_pools.h"
#include "turmeric/http/sse.h"

namespace turmeric::gateway {

using utils::Errc;
using utils::RunState;

PipelineRun::PipelineRun(RunContext context, RunRequest request,
                         std::function<void(const QByteArray&)> on_token,
                         std::function<void(const RunAnswer&)> on_done)
    : ctx_(context),
      req_(std::move(request)),
      on_token_(std::move(on_token)),
      on_done_(std::move(on_done)),
      current_input_(req_.input) {}

void PipelineRun::Start() { RunStage(); }

int PipelineRun::RemainingMs() const {
  return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(
                              req_.deadline - std::chrono::steady_clock::now())
                              .count());
}

void PipelineRun::RunStage() {
  if (stage_ == req_.settings.stages.size()) {
    answer_.output = current_input_;
    Finish(RunState::kRan, Errc::kOk, "");
    return;
  }
  // Guard: a stage started with less than its minimum budget would only be
  // cut by the deadline. Stop here so the caller hears at once what ran.
  if (RemainingMs() < std::max(1, req_.settings.min_stage_ms)) {
    Finish(
        called_non_idempotent_ ? RunState::kUnknown
        : called_any_          ? RunState::kFailed
                               : RunState::kNotRun,
        Errc::kDeadlineExceeded,
        "deadline reached before stage " + req_.settings.stages[stage_].name);
    return;
  }
  const config::StageSpec& spec = req_.settings.stages[stage_];
  UpstreamPool& pool = ctx_.pools->For(spec);
  const RoutingPolicy policy = req_.settings.routing == "round_robin"
                                   ? RoutingPolicy::kRoundRobin
                                   : RoutingPolicy::kPowerOfTwo;
  const int index = pool.Pick(policy, *ctx_.rng, last_upstream_);
  if (index < 0) {
    Finish(called_any_ ? RunState::kFailed : RunState::kNotRun,
           Errc::kNoUpstream, "no upstream for stage " + spec.name);
    return;
  }
  if (attempt_ == 0)
    ctx_.retry_budget->OnAttempt(req_.settings.retry_budget_percent);
  Send(index);
}

void PipelineRun::Send(int index) {
  const config::StageSpec& spec = req_.settings.stages[stage_];
  UpstreamPool& pool = ctx_.pools->For(spec);
  const std::string address = pool.upstreams()[index].address;
  ++attempt_;
  const bool engine = spec.kind == "engine";
  QNetworkRequest http(QUrl(QString::fromStdString(
      "http://" + address + (engine ? "/v1/completions" : "/v1/stage"))));
  http.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  const std::string call_id =
      req_.request_id + "/" + spec.name + "/" + std::to_string(attempt_);
  http.setRawHeader("x-request-id", QByteArray::fromStdString(call_id));
  stage_span_ = utils::ChildContext(req_.trace);
  stage_start_us_ = utils::NowUnixMicros();
  http.setRawHeader("traceparent", QByteArray::fromStdString(
                                       utils::FormatTraceparent(stage_span_)));
  if (!spec.idempotent) {
    http.setRawHeader("idempotency-key",
                      QByteArray::fromStdString(req_.request_id));
  }
  http.setTransferTimeout(std::max(1, RemainingMs()));
  const bool stream_here =
      engine && req_.stream && stage_ + 1 == req_.settings.stages.size();
  QJsonObject body;
  if (engine) {
    body = {{"model", QString::fromStdString(spec.pool)},
            {"prompt", QString::fromStdString(current_input_)},
            {"max_tokens", req_.max_tokens},
            {"stream", stream_here}};
  } else {
    body = {{"stage", QString::fromStdString(spec.name)},
            {"input", QString::fromStdString(current_input_)}};
  }
  pool.OnSend(index);
  called_any_ = true;
  if (!spec.idempotent) called_non_idempotent_ = true;
  sent_at_ = std::chrono::steady_clock::now();
  sse_buffer_.clear();
  streamed_text_.clear();
  streamed_tokens_ = 0;
  QNetworkReply* reply = ctx_.network->post(
      http, QJsonDocument(body).toJson(QJsonDocument::Compact));
  reply_ = reply;
  reply_upstream_ = index;
  if (stream_here) {
    connect(reply, &QNetworkReply::readyRead, this,
            [this, reply] { OnStreamBytes(reply); });
  }
  connect(reply, &QNetworkReply::finished, this, [this, reply, index] {
    const double seconds = std::chrono::duration<double>(
                               std::chrono::steady_clock::now() - sent_at_)
                               .count();
    OnFinished(reply, index, seconds);
  });
}

void PipelineRun::OnStreamBytes(QNetworkReply* reply) {
  sse_buffer_.append(reply->readAll());
  http::SseParser parser;
  // Parse only whole events; keep the tail for the next read.
  const qsizetype cut = sse_buffer_.lastIndexOf("\n\n");
  if (cut < 0) return;
  const QByteArray whole = sse_buffer_.left(cut + 2);
  sse_buffer_.remove(0, cut + 2);
  for (const QByteArray& data : parser.Feed(whole)) {
    if (data == "[DONE]") continue;
    const QJsonObject ev = QJsonDocument::fromJson(data).object();
    if (ev.value("done").toBool()) continue;
    const std::string expected = req_.request_id + "/" +
                                 req_.settings.stages[stage_].name + "/" +
                                 std::to_string(attempt_);
    // Guard: a token from another call must never reach this caller. It
    // shows as words of someone else's answer; checking the echoed call id
    // on every event holds because ids are unique per attempt.
    if (ev.value("request_id").toString().toStdString() != expected) {
      ctx_.metrics->OnMisdelivered();
      continue;
    }
    const std::string word = ev.value("text").toString().toStdString();
    streamed_text_ += (streamed_tokens_ ? " " : "") + word;
    ++streamed_tokens_;
    if (on_token_) on_token_(QByteArray::fromStdString(word));
  }
}

void PipelineRun::OnFinished(QNetworkReply* reply, int index, double seconds) {
  reply->deleteLater();
  const config::StageSpec& spec = req_.settings.stages[stage_];
  UpstreamPool& pool = ctx_.pools->For(spec);
  const int status =
      reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  const bool leaving = reply->rawHeader("x-leaving") == "1";
  const QByteArray depth = reply->rawHeader("x-queue-depth");
  pool.OnAnswer(index, depth.isEmpty() ? -1 : depth.toInt(), leaving);
  const std::string expected =
      req_.request_id + "/" + spec.name + "/" + std::to_string(attempt_);
  const bool id_ok = reply->rawHeader("x-request-id").toStdString() == expected;
  const bool ok = reply->error() == QNetworkReply::NoError && status == 200;
  std::string output;
  int tokens = 0;
  if (ok && id_ok) {
    if (req_.stream && spec.kind == "engine" &&
        stage_ + 1 == req_.settings.stages.size()) {
      OnStreamBytes(reply);
      output = streamed_text_;
      tokens = streamed_tokens_;
    } else {
      const QJsonObject o = QJsonDocument::fromJson(reply->readAll()).object();
      if (o.value("request_id").toString().toStdString() != expected) {
        ctx_.metrics->OnMisdelivered();
      }
      output = (spec.kind == "engine" ? o.value("text") : o.value("output"))
                   .toString()
                   .toStdString();
      tokens = o.value("completion_tokens").toInt();
    }
  } else if (ok && !id_ok) {
    ctx_.metrics->OnMisdelivered();
  }
  const bool success = ok && id_ok;
  ctx_.metrics->OnStageCall(req_.settings.business, spec.name, seconds, tokens,
                            success);
  if (ctx_.spans) {
    ctx_.spans->Export({stage_span_, req_.trace.span_id, "stage." + spec.name,
                        stage_start_us_,
                        utils::NowUnixMicros() - stage_start_us_,
                        "\"upstream\":\"" + pool.upstreams()[index].address +
                            "\",\"status\":" + std::to_string(status)});
  }
  if (success) {
    answer_.stages.push_back({spec.name, pool.upstreams()[index].address,
                              seconds, tokens, attempt_});
    current_input_ = output;
    ++stage_;
    attempt_ = 0;
    last_upstream_ = -1;
    RunStage();
    return;
  }
  // A refusal from a leaving upstream ran nothing there; any stage may go
  // elsewhere. Other failures of a non-idempotent call may have run.
  const bool refused_unrun = leaving && status == 503;
  const bool may_retry = spec.idempotent || refused_unrun;
  // A leaving upstream's refusal did no work and marks it out of the pool,
  // so resending it cannot feed a retry storm: each upstream refuses at most
  // once per instance. It is not charged to the retry budget, which would
  // otherwise turn a routine replacement into failed requests right after
  // start, when the budget holds no tokens yet.
  const bool budget_ok = refused_unrun || ctx_.retry_budget->TrySpend();
  if (may_retry && budget_ok && RemainingMs() > req_.settings.min_stage_ms) {
    last_upstream_ = index;
    RunStage();
    return;
  }
  if (!spec.idempotent && !refused_unrun) {
    Finish(RunState::kUnknown, Errc::kOutcomeUnknown,
           "non-idempotent stage " + spec.name + " failed after sending");
    return;
  }
  const Errc code = reply->error() == QNetworkReply::OperationCanceledError ||
                            reply->error() == QNetworkReply::TimeoutError
                        ? Errc::kUpstreamTimeout
                        : Errc::kUpstreamFailed;
  const bool nothing_ran =
      !called_non_idempotent_ && stage_ == 0 && refused_unrun;
  // An earlier non-idempotent stage did run: the request is not "failed
  // without effects", and never "not run".
  Finish(called_non_idempotent_ ? RunState::kUnknown
         : nothing_ran          ? RunState::kNotRun
                                : RunState::kFailed,
         code,
         "stage " + spec.name + ": " + reply->errorString().toStdString());
}

void PipelineRun::Cancel() {
  if (!on_done_ || called_non_idempotent_) return;
  if (reply_ != nullptr) {
    const config::StageSpec& spec = req_.settings.stages[stage_];
    const double seconds = std::chrono::duration<double>(
                               std::chrono::steady_clock::now() - sent_at_)
                               .count();
    ctx_.pools->For(spec).OnAnswer(reply_upstream_, -1, false);
    ctx_.metrics->OnStageCall(req_.settings.business, spec.name, seconds, 0,
                              false);
    reply_->disconnect(this);
    reply_->abort();
    reply_->deleteLater();
  }
  Finish(called_any_ ? RunState::kFailed : RunState::kNotRun, Errc::kCallerGone,
         "the caller closed its connection");
}

void PipelineRun::Finish(RunState state, Errc code, std::string detail) {
  answer_.state = state;
  answer_.code = code;
  answer_.detail = std::move(detail);
  if (on_done_) on_done_(answer_);
  on_done_ = nullptr;
  deleteLater();
}

}  // namespace turmeric::gateway
