#include "turmeric/standins/engine_standin.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>

#include "turmeric/http/http_request.h"
#include "turmeric/http/sse.h"

namespace turmeric::standins {

namespace {

/** A longer word is cut off, as a token of a real engine is short. */
constexpr qsizetype kMaxTokenChars = 64;

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

EngineStandin::EngineStandin(EngineLatencyModel model) : model_(model) {
  server_.Route("POST", "/v1/completions",
                [this](const http::HttpRequest& r, http::Responder&& w) {
                  HandleCompletion(r, std::move(w));
                });
  server_.Route("POST", "/admin/faults",
                [this](const http::HttpRequest& r, http::Responder&& w) {
                  faults_ = ParseFaults(r.body());
                  http::WriteJson(w, 200, "{}");
                });
  // Like a real engine, reports a queue depth that lags behind the actual one.
  load_timer_.setInterval(model_.load_report_ms);
  connect(&load_timer_, &QTimer::timeout, this,
          [this] { reported_depth_ = active_; });
  load_timer_.start();
}

uint16_t EngineStandin::Listen(uint16_t port) {
  port_ = server_.Listen({"127.0.0.1", port});
  return port_;
}

bool EngineStandin::TouchPrefix(const std::string& prompt) {
  constexpr size_t kPrefixChars = 32;
  const std::string prefix = prompt.substr(0, kPrefixChars);
  auto it = std::ranges::find(cached_prefixes_, prefix);
  const bool hit = it != cached_prefixes_.end();
  if (hit) cached_prefixes_.erase(it);
  cached_prefixes_.push_front(prefix);
  if (cached_prefixes_.size() >
      static_cast<size_t>(model_.prefix_cache_entries)) {
    cached_prefixes_.pop_back();
  }
  return hit;
}

void EngineStandin::HandleCompletion(const http::HttpRequest& request,
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
  auto completion = std::make_shared<Completion>();
  completion->responder.emplace(std::move(responder));
  completion->request_id = request_id;
  const QString prompt = body.value("prompt").toString();
  completion->max_tokens =
      std::clamp(body.value("max_tokens").toInt(16), 1, 4096);
  // No more words are used than there are tokens.
  for (const QStringView word : prompt.tokenize(u' ', Qt::SkipEmptyParts)) {
    if (completion->words.size() == completion->max_tokens) break;
    completion->words.append(word.left(kMaxTokenChars).toString());
  }
  completion->stream = body.value("stream").toBool(false);
  // A resumed stream continues at the token index requested by the client.
  completion->emitted =
      std::clamp(body.value("resume_from").toInt(0), 0, completion->max_tokens);
  ++active_;
  const bool cached = TouchPrefix(prompt.toStdString());
  const double prefill_ms =
      cached ? 0.0 : prompt.size() * model_.prefill_us_per_char / 1000.0;
  if (completion->stream) {
    completion->responder->StartStream("text/event-stream", headers);
  }
  auto decode_step = std::make_shared<std::function<void()>>();
  *decode_step = [this, completion, decode_step] {
    if (completion->stream && completion->emitted == faults_.cut_stream_after) {
      --active_;
      completion->responder->Abort();
      completion->responder.reset();
      *decode_step = nullptr;
      return;
    }
    if (completion->emitted < completion->max_tokens) {
      const QString word =
          completion->words.isEmpty()
              ? QString("tok%1").arg(completion->emitted)
              : completion
                    ->words[completion->emitted % completion->words.size()];
      completion->text += (completion->emitted ? " " : "") + word;
      if (completion->stream) {
        QJsonObject event{{"request_id", QString(completion->request_id)},
                          {"index", completion->emitted},
                          {"text", word}};
        completion->responder->WriteChunk(http::SseEvent(
            QJsonDocument(event).toJson(QJsonDocument::Compact)));
      }
      ++completion->emitted;
      const double batch =
          1.0 + static_cast<double>(active_) / model_.batch_capacity;
      const int delay =
          static_cast<int>(model_.token_ms * batch * faults_.slow_factor + 0.5);
      QTimer::singleShot(delay, this, *decode_step);
      return;
    }
    --active_;
    ++served_;
    if (completion->stream) {
      QJsonObject done{{"request_id", QString(completion->request_id)},
                       {"done", true},
                       {"completion_tokens", completion->emitted}};
      completion->responder->WriteChunk(
          http::SseEvent(QJsonDocument(done).toJson(QJsonDocument::Compact)) +
          http::SseEvent("[DONE]"));
      completion->responder->EndStream();
    } else {
      QJsonObject out{{"request_id", QString(completion->request_id)},
                      {"text", completion->text},
                      {"completion_tokens", completion->emitted}};
      http::WriteJson(*completion->responder, 200,
                      QJsonDocument(out).toJson(QJsonDocument::Compact),
                      {{"x-request-id", completion->request_id},
                       {"x-queue-depth", QByteArray::number(reported_depth_)}});
    }
    completion->responder.reset();
    // Breaks the reference cycle, so that the state is freed.
    *decode_step = nullptr;
  };
  QTimer::singleShot(static_cast<int>(prefill_ms * faults_.slow_factor), this,
                     *decode_step);
}

}  // namespace turmeric::standins
