#pragma once

#include <QObject>
#include <QPointer>
#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "turmeric/config/resolved_settings.h"
#include "turmeric/utils/result.h"
#include "turmeric/utils/trace.h"

class QNetworkAccessManager;
class QNetworkReply;

namespace turmeric::gateway {

class GatewayMetrics;
class RetryBudget;
class UpstreamPools;

/** One request as the caller front hands it to the executor. */
struct RunRequest {
  std::string request_id;
  config::ResolvedSettings settings;
  std::string input;
  int max_tokens = 16;
  bool stream = false;  ///< Forward generated tokens as they come.
  std::chrono::steady_clock::time_point deadline;
  utils::TraceContext trace;  ///< This request's span in the caller's trace.
};

/** What one stage cost. */
struct StageRecord {
  std::string stage;
  std::string upstream;
  double seconds = 0;
  int tokens = 0;
  int attempts = 0;
};

/** The answer to one request: whole, or an error saying what ran. */
struct RunAnswer {
  utils::RunState state = utils::RunState::kNotRun;
  utils::Errc code = utils::Errc::kOk;
  std::string detail;
  std::string output;
  std::vector<StageRecord> stages;
};

/** What the executor uses, owned by the gateway service. */
struct RunContext {
  QNetworkAccessManager* network = nullptr;
  UpstreamPools* pools = nullptr;
  RetryBudget* retry_budget = nullptr;
  GatewayMetrics* metrics = nullptr;
  utils::SpanSink* spans = nullptr;
  std::mt19937_64* rng = nullptr;
};

/**
 * Runs one request's stages in order under its one deadline: each stage gets
 * what is left of it. Idempotent stages are retried on another upstream
 * within the retry budget; non-idempotent ones only when the upstream refused
 * the call unrun (leaving). Deletes itself when done.
 */
class PipelineRun : public QObject {
 public:
  /**
   * @param context shared executor parts.
   * @param request the request.
   * @param on_token called per generated token when streaming.
   * @param on_done called once with the answer.
   */
  PipelineRun(RunContext context, RunRequest request,
              std::function<void(const QByteArray&)> on_token,
              std::function<void(const RunAnswer&)> on_done);
  /** Starts the first stage. */
  void Start();
  /**
   * The caller has gone: idempotent work stops at once. Once a
   * non-idempotent call has been sent the run goes on, so that a retry under
   * the same idempotency key gets its answer.
   */
  void Cancel();

 private:
  void RunStage();
  void Send(int upstream_index);
  void OnFinished(QNetworkReply* reply, int upstream_index, double seconds);
  void OnStreamBytes(QNetworkReply* reply);
  void Finish(utils::RunState state, utils::Errc code, std::string detail);
  int RemainingMs() const;

  RunContext ctx_;
  /** The call in flight, if any, and the upstream it went to. */
  QPointer<QNetworkReply> reply_;
  int reply_upstream_ = -1;
  RunRequest req_;
  std::function<void(const QByteArray&)> on_token_;
  std::function<void(const RunAnswer&)> on_done_;
  RunAnswer answer_;
  size_t stage_ = 0;
  int attempt_ = 0;
  int last_upstream_ = -1;
  bool called_non_idempotent_ = false;
  bool called_any_ = false;
  std::string current_input_;
  QByteArray sse_buffer_;
  std::string streamed_text_;
  int streamed_tokens_ = 0;
  std::chrono::steady_clock::time_point sent_at_;
  utils::TraceContext stage_span_;
  int64_t stage_start_us_ = 0;
};

}  // namespace turmeric::gateway
