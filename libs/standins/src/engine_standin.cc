#include "turmeric/standins/engine_standin.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>

#include "turmeric/http/sse.h"

namespace turmeric::standins {

namespace {

/** One completion in progress. */
struct Completion {
  std::optional<http::Responder> responder;
  QByteArray request_id;
  QStringList words;
  int max_tokens = 16;
  int emitted = 0;
  bool stream = false;
  QString text;
};

}  // namespace

EngineStandin::EngineStandin(EngineModel model) : model_(model) {
  server_.Route(QHttpServerRequest::Method::Post, "/v1/completions",
                [this](const QHttpServerRequest& r, http::Responder&& w) {
                  Complete(r, std::move(w));
                });
  server_.Route(QHttpServerRequest::Method::Post, "/admin/faults",
                [this](const QHttpServerRequest& r, http::Responder&& w) {
                  faults_ = ParseFaults(r.body());
                  http::WriteJson(w, 200, "{}");
                });
  // The reported depth trails the true one, as real engines' load reports do.
  load_timer_.setInterval(model_.load_report_ms);
  connect(&load_timer_, &QTimer::timeout, this,
          [this] { reported_depth_ = active_; });
  load_timer_.start();
}

uint16_t EngineStandin::Listen(uint16_t port) {
  port_ = server_.listen(QHostAddress::LocalHost, port);
  return port_;
}

bool EngineStandin::PrefixCached(const std::string& prompt) {
  constexpr size_t kPrefixChars = 32;
  const std::string prefix = prompt.substr(0, kPrefixChars);
  auto it = std::ranges::find(prefixes_, prefix);
  const bool hit = it != prefixes_.end();
  if (hit) prefixes_.erase(it);
  prefixes_.push_front(prefix);
  if (prefixes_.size() > static_cast<size_t>(model_.prefix_cache_entries)) {
    prefixes_.pop_back();
  }
  return hit;
}

void EngineStandin::Complete(const QHttpServerRequest& request,
                             http::Responder&& responder) {
  const QJsonObject body = QJsonDocument::fromJson(request.body()).object();
  const QByteArray request_id = request.value("x-request-id");
  ++received_;
  const std::vector<std::pair<QByteArray, QByteArray>> headers = {
      {"x-request-id", request_id},
      {"x-queue-depth", QByteArray::number(reported_depth_)}};
  if (faults_.leaving) {
    ++refused_leaving_;
    http::WriteJson(responder, 503, R"({"error":"leaving"})",
                    {{"x-leaving", "1"}, {"x-request-id", request_id}});
    return;
  }
  if (std::uniform_real_distribution<>(0, 1)(rng_) < faults_.fail_rate) {
    http::WriteJson(responder, 500, R"({"error":"injected"})", headers);
    return;
  }
  auto c = std::make_shared<Completion>();
  c->responder.emplace(std::move(responder));
  c->request_id = request_id;
  const QString prompt = body.value("prompt").toString();
  c->words = prompt.split(' ', Qt::SkipEmptyParts);
  c->max_tokens = std::clamp(body.value("max_tokens").toInt(16), 1, 4096);
  c->stream = body.value("stream").toBool(false);
  // A resumed stream goes on from the token the client still wants.
  c->emitted = std::clamp(body.value("resume_from").toInt(0), 0, c->max_tokens);
  ++active_;
  const bool cached = PrefixCached(prompt.toStdString());
  const double prefill_ms =
      cached ? 0.0 : prompt.size() * model_.prefill_us_per_char / 1000.0;
  if (c->stream) {
    c->responder->StartStream("text/event-stream", headers);
  }
  auto step = std::make_shared<std::function<void()>>();
  *step = [this, c, step] {
    if (c->stream && c->emitted == faults_.cut_stream_after) {
      --active_;
      c->responder->Abort();
      c->responder.reset();
      *step = nullptr;
      return;
    }
    if (c->emitted < c->max_tokens) {
      const QString word = c->words.isEmpty()
                               ? QString("tok%1").arg(c->emitted)
                               : c->words[c->emitted % c->words.size()];
      c->text += (c->emitted ? " " : "") + word;
      if (c->stream) {
        QJsonObject ev{{"request_id", QString(c->request_id)},
                       {"index", c->emitted},
                       {"text", word}};
        c->responder->WriteChunk(
            http::SseEvent(QJsonDocument(ev).toJson(QJsonDocument::Compact)));
      }
      ++c->emitted;
      const double batch =
          1.0 + static_cast<double>(active_) / model_.batch_capacity;
      const int delay =
          static_cast<int>(model_.token_ms * batch * faults_.slow_factor + 0.5);
      QTimer::singleShot(delay, this, *step);
      return;
    }
    --active_;
    ++served_;
    if (c->stream) {
      QJsonObject done{{"request_id", QString(c->request_id)},
                       {"done", true},
                       {"completion_tokens", c->emitted}};
      c->responder->WriteChunk(
          http::SseEvent(QJsonDocument(done).toJson(QJsonDocument::Compact)) +
          http::SseEvent("[DONE]"));
      c->responder->EndStream();
    } else {
      QJsonObject out{{"request_id", QString(c->request_id)},
                      {"text", c->text},
                      {"completion_tokens", c->emitted}};
      http::WriteJson(*c->responder, 200,
                      QJsonDocument(out).toJson(QJsonDocument::Compact),
                      {{"x-request-id", c->request_id},
                       {"x-queue-depth", QByteArray::number(reported_depth_)}});
    }
    c->responder.reset();
    *step = nullptr;  // Breaks the self-reference so the state is freed.
  };
  QTimer::singleShot(static_cast<int>(prefill_ms * faults_.slow_factor), this,
                     *step);
}

}  // namespace turmeric::standins
