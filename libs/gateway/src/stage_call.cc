#include "turmeric/gateway/stage_call.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>
#include <utility>

#include "turmeric/http/json_text.h"
#include "turmeric/http/one_shot_body.h"
#include "turmeric/http/sse.h"

namespace turmeric::gateway {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;

bool IsEngine(const StageCallSpec& spec) { return spec.stage.kind == "engine"; }

QByteArray RequestBody(const StageCallSpec& spec, std::string_view text) {
  if (!IsEngine(spec)) {
    return http::JsonWithText(
        {{"stage", QString::fromStdString(spec.stage.name)}}, "input", text);
  }
  QJsonObject body{{"model", QString::fromStdString(spec.stage.pool)},
                   {"max_tokens", spec.max_tokens},
                   {"stream", spec.stream}};
  if (spec.resume_from > 0) body["resume_from"] = spec.resume_from;
  return http::JsonWithText(body, "prompt", text);
}

QNetworkRequest RequestHead(const StageCallSpec& spec, qsizetype body_size) {
  QNetworkRequest head(QUrl(QString::fromStdString(
      "http://" + spec.upstream->address +
      (IsEngine(spec) ? "/v1/completions" : "/v1/stage"))));
  head.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  head.setHeader(QNetworkRequest::ContentLengthHeader,
                 static_cast<qlonglong>(body_size));
  head.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
  head.setRawHeader("x-request-id", QByteArray::fromStdString(spec.call_id));
  head.setRawHeader("traceparent", QByteArray::fromStdString(
                                       utils::FormatTraceparent(spec.trace)));
  if (!spec.stage.idempotent) head.setRawHeader("Connection", "close");
  if (!spec.idempotency_key.empty()) {
    head.setRawHeader("idempotency-key",
                      QByteArray::fromStdString(spec.idempotency_key));
  }
  return head;
}

}  // namespace

StageCall::StageCall(StageCallSpec spec, OnToken on_token, OnDone on_done)
    : spec_(std::move(spec)),
      on_token_(std::move(on_token)),
      on_done_(std::move(on_done)),
      next_token_(spec_.resume_from) {}

double StageCall::ElapsedMs() const {
  return std::chrono::duration<double, std::milli>(Clock::now() - sent_at_)
      .count();
}

void StageCall::Send(QNetworkAccessManager& network, std::string_view input) {
  const QByteArray body = RequestBody(spec_, input);
  OnSend(*spec_.upstream);
  sent_at_ = Clock::now();
  start_us_ = utils::NowUnixMicros();
  // Guard: if an upstream closes the connection without answering, Qt resends
  // the POST automatically, and a notice is printed twice. With a body that
  // cannot be rewound Qt reports an error instead, and only PipelineRun decides
  // on retries.
  auto* device = new http::OneShotBody(body, this);
  reply_ = network.post(RequestHead(spec_, body.size()), device);
  if (spec_.stream) {
    connect(reply_, &QNetworkReply::readyRead, this, [this] { ReadStream(); });
  }
  connect(reply_, &QNetworkReply::finished, this, [this] { OnFinished(); });
}

StageOutcome StageCall::Cancel() {
  StageOutcome outcome;
  outcome.report = {CallResult::kCancelled, ElapsedMs(), -1};
  outcome.tokens = tokens_;
  outcome.error = "cancelled";
  on_done_ = nullptr;
  if (reply_) {
    reply_->disconnect(this);
    reply_->abort();
    reply_->deleteLater();
  }
  deleteLater();
  return outcome;
}

void StageCall::ReadStream() {
  sse_buffer_.append(reply_->readAll());
  // Parses only complete events; the rest stays in the buffer.
  const qsizetype events_end = sse_buffer_.lastIndexOf("\n\n");
  if (events_end < 0) return;
  const QByteArray complete_events = sse_buffer_.left(events_end + 2);
  sse_buffer_.remove(0, events_end + 2);
  http::SseParser parser;
  for (const QByteArray& data : parser.Feed(complete_events)) {
    if (data == "[DONE]") continue;
    const QJsonObject event = QJsonDocument::fromJson(data).object();
    // Guard: a token of another call must never be forwarded to this caller.
    // Call ids are unique, so the id echoed in every event identifies foreign
    // tokens.
    if (event.value("request_id").toString().toStdString() != spec_.call_id) {
      foreign_call_id_ = true;
      continue;
    }
    if (event.value("done").toBool()) {
      stream_done_ = true;
      continue;
    }
    // Guard: a resumed stream may contain tokens that were already forwarded,
    // or skip tokens. Duplicate indices are dropped; a gap fails the call.
    const int index = event.value("index").toInt(next_token_);
    if (index < next_token_) continue;
    if (index > next_token_) {
      stream_gap_ = true;
      return;
    }
    ++next_token_;
    ++tokens_;
    on_token_(event.value("text").toString().toStdString());
  }
}

CallResult StageCall::ClassifyReply(StageOutcome& outcome) {
  outcome.status =
      reply_->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  if (reply_->rawHeader("x-leaving") == "1" &&
      outcome.status == kStatusUnavailable) {
    outcome.error = "leaving";
    return CallResult::kRefusedLeaving;
  }
  if (reply_->error() == QNetworkReply::ConnectionRefusedError) {
    outcome.error = "connection refused";
    return CallResult::kNotSent;
  }
  if (reply_->error() != QNetworkReply::NoError ||
      outcome.status != kStatusOk) {
    outcome.error = reply_->errorString().toStdString();
    return CallResult::kFailed;
  }
  if (reply_->rawHeader("x-request-id").toStdString() != spec_.call_id) {
    outcome.error = "answer carries another call's id";
    return CallResult::kMisdelivered;
  }
  if (spec_.stream) {
    ReadStream();
    outcome.tokens = tokens_;
    if (foreign_call_id_) return CallResult::kMisdelivered;
    // Guard: a stream that ends early must not be treated as a complete answer.
    if (stream_gap_ || !stream_done_) {
      outcome.error = stream_gap_ ? "stream skipped a token"
                                  : "stream ended without its end event";
      return CallResult::kFailed;
    }
    return CallResult::kOk;
  }
  const QJsonObject answer =
      QJsonDocument::fromJson(reply_->readAll()).object();
  if (answer.value("request_id").toString().toStdString() != spec_.call_id) {
    outcome.error = "answer body carries another call's id";
    return CallResult::kMisdelivered;
  }
  outcome.output = answer.value(IsEngine(spec_) ? "text" : "output")
                       .toString()
                       .toStdString();
  outcome.tokens = answer.value("completion_tokens").toInt();
  return CallResult::kOk;
}

void StageCall::OnFinished() {
  StageOutcome outcome;
  const QByteArray depth = reply_->rawHeader("x-queue-depth");
  const CallResult result = ClassifyReply(outcome);
  outcome.report = {result, ElapsedMs(), depth.isEmpty() ? -1 : depth.toInt()};
  reply_->deleteLater();
  deleteLater();
  if (auto done = std::exchange(on_done_, nullptr)) {
    done(this, std::move(outcome));
  }
}

}  // namespace turmeric::gateway
