#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "turmeric/config/resolved_settings.h"
#include "turmeric/gateway/claim.h"
#include "turmeric/utils/result.h"
#include "turmeric/utils/trace.h"

class QNetworkAccessManager;

namespace turmeric::gateway {

class GatewayMetrics;
class StageCall;
class UpstreamPools;
struct StageOutcome;
struct UpstreamState;

/** One request as the caller front hands it to the executor. */
struct RunRequest {
  std::string request_id;
  /** Sent with non-idempotent calls; unique per logical request. */
  std::string idempotency_key;
  config::ResolvedSettings settings;
  std::string input;
  int max_tokens = 16;
  /** Claims the request before its first non-idempotent call, then calls
   * back; empty if the request has no non-idempotent stage. */
  std::function<void(std::function<void(const Claim&)>)> acquire_claim;
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
  bool idempotent = true;
};

/** The answer to one request: whole, or an error saying what ran. */
struct RunAnswer {
  utils::RunState state = utils::RunState::kNotRun;
  utils::Errc code = utils::Errc::kOk;
  std::string detail;
  std::string output;
  std::vector<StageRecord> stages;
  /** The recorded answer, if another attempt ran this request before. */
  std::string replay;
  /** The process ends before the run could: a stream has no proper end. */
  bool cut_off = false;
};

/** What the executor uses, owned by the gateway service. */
struct RunContext {
  QNetworkAccessManager* network = nullptr;
  /** For non-idempotent calls: one connection a call, never reused. */
  QNetworkAccessManager* fresh_network = nullptr;
  UpstreamPools* pools = nullptr;
  GatewayMetrics* metrics = nullptr;
  utils::SpanSink* spans = nullptr;
  std::mt19937_64* rng = nullptr;
};

/**
 * Runs one request's stages in order under its one deadline: each stage gets
 * what is left of it. Idempotent stages are retried on another upstream
 * within the pool's retry budget, and hedged (cloned to a second upstream, the
 * first whole answer wins) within its hedge budget; non-idempotent ones are
 * sent again only when the call certainly did not run. Deletes itself when
 * done.
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
  /** The process is about to exit: ends the run with what may be told of it. */
  void CutOff();

 private:
  void RunStage();
  void StartCall(const UpstreamState* exclude);
  void ArmHedge();
  void OnClaim(const Claim& claim);
  void OnCallDone(StageCall* call, const StageOutcome& outcome);
  void OnStageOk(const StageCall& call, const StageOutcome& outcome);
  void OnStageFailed(const StageCall& call, const StageOutcome& outcome);
  void OnDeadline();
  /** Reports a call's end to routing, metrics (cost) and traces. */
  void Account(const StageCall& call, const StageOutcome& outcome);
  void CancelCalls();
  /** @return what may be told of a request that ends now, unfinished. */
  utils::RunState UnfinishedState() const;
  void Finish(utils::RunState state, utils::Errc code, std::string detail);
  int RemainingMs() const;
  const config::StageSpec& stage() const {
    return req_.settings.stages[stage_];
  }
  bool streams_here() const;
  /** @return the stage before which a keyed request is claimed. */
  size_t ClaimStage() const;

  RunContext ctx_;
  RunRequest req_;
  std::function<void(const QByteArray&)> on_token_;
  std::function<void(const RunAnswer&)> on_done_;
  RunAnswer answer_;
  QTimer deadline_;
  QTimer hedge_;
  std::vector<StageCall*> calls_;  ///< In flight for the current stage.
  size_t stage_ = 0;
  int attempt_ = 0;
  /** A non-idempotent call was sent and is not proved unrun. */
  bool non_idempotent_sent_ = false;
  bool claimed_ = false;
  /** Some call was sent and is not proved unrun. */
  bool any_sent_ = false;
  std::string current_input_;
  std::string streamed_text_;
  int streamed_tokens_ = 0;
};

}  // namespace turmeric::gateway
