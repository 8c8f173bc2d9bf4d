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

/** One request, as RunHandler passes it to PipelineRun. */
struct RunRequest {
  std::string request_id;
  /** Sent with non-idempotent calls; unique per logical request. */
  std::string idempotency_key;
  config::ResolvedSettings settings;
  std::string input;
  int max_tokens = 16;
  /**
   * Claims the request before its first non-idempotent call and passes the
   * claim to the callback; empty if all stages are idempotent.
   */
  std::function<void(std::function<void(const Claim&)>)> acquire_claim;
  bool stream = false;  ///< Forward generated tokens as they arrive.
  std::chrono::steady_clock::time_point deadline;
  utils::TraceContext trace;  ///< This request's span in the caller's trace.
};

/** Cost of one completed stage. */
struct StageRecord {
  std::string stage;
  std::string upstream;
  double seconds = 0;
  int tokens = 0;
  int attempts = 0;
  bool idempotent = true;
};

/**
 * The answer to one request: a complete output, or an error with the run state.
 */
struct RunAnswer {
  utils::RunState state = utils::RunState::kNotRun;
  utils::Errc code = utils::Errc::kOk;
  std::string detail;
  std::string output;
  std::vector<StageRecord> stages;
  /** The recorded answer, if another attempt ran this request before. */
  std::string replay;
  /**
   * True if the process exits before the run ends: a stream is then closed
   * without its end marker.
   */
  bool aborted = false;
};

/** Objects shared by all runs, owned by RunHandler. */
struct RunContext {
  QNetworkAccessManager* network = nullptr;
  /** For non-idempotent calls: every call opens its own connection. */
  QNetworkAccessManager* non_persistent_network = nullptr;
  UpstreamPools* pools = nullptr;
  GatewayMetrics* metrics = nullptr;
  utils::SpanSink* spans = nullptr;
  std::mt19937_64* rng = nullptr;
};

/**
 * Runs the stages of one request in order under a single deadline; each stage
 * gets the time that remains. A call that certainly did not run is retried
 * without use of the pool's retry budget. Other failed calls are retried only
 * for idempotent stages and within the retry budget. Idempotent stages are also
 * hedged (a second call to another upstream, the first complete answer is used)
 * within the pool's hedge budget.
 * Deletes itself after `on_done`.
 */
class PipelineRun : public QObject {
 public:
  /**
   * @param context objects shared by all runs.
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
   * Cancels the run after the caller has disconnected. Once a non-idempotent
   * call has been sent the run continues instead, so that a retry with the same
   * idempotency key receives its answer.
   */
  void Cancel();
  /**
   * Ends the run because the process is about to exit. The answer states
   * whether the request ran, as far as this is certain.
   */
  void Abort();

 private:
  void RunStage();
  void StartCall(const UpstreamState* exclude);
  void StartHedgeTimer();
  void OnClaim(const Claim& claim);
  void OnCallDone(StageCall* call, StageOutcome&& outcome);
  void OnStageOk(const StageCall& call, StageOutcome&& outcome);
  void OnStageFailed(const StageCall& call, const StageOutcome& outcome);
  void OnDeadline();
  /** Reports the end of a call to routing state, metrics (cost) and traces. */
  void Account(const StageCall& call, const StageOutcome& outcome);
  void CancelCalls();
  /**
   * @return the run state of a request that ends now, before its last stage.
   */
  utils::RunState StateIfEndedNow() const;
  void Finish(utils::RunState state, utils::Errc code, std::string detail);
  int RemainingMs() const;
  const config::StageSpec& stage() const {
    return req_.settings.stages[stage_];
  }
  bool StreamsCurrentStage() const;
  /**
   * @return the index of the first non-idempotent stage, before which the claim
   *     is acquired.
   */
  size_t ClaimStage() const;

  RunContext ctx_;
  RunRequest req_;
  std::function<void(const QByteArray&)> on_token_;
  std::function<void(const RunAnswer&)> on_done_;
  RunAnswer answer_;
  QTimer deadline_timer_;
  QTimer hedge_timer_;
  std::vector<StageCall*> calls_;  ///< Calls in flight for the current stage.
  size_t stage_ = 0;
  int attempt_ = 0;
  /** A non-idempotent call was sent and may have run. */
  bool non_idempotent_sent_ = false;
  bool claimed_ = false;
  /** A call was sent and may have run. */
  bool any_call_sent_ = false;
  std::string current_input_;
  std::string streamed_text_;
  int streamed_tokens_ = 0;
};

}  // namespace turmeric::gateway
