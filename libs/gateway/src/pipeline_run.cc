#include "turmeric/gateway/pipeline_run.h"

#include <QNetworkAccessManager>
#include <QPointer>
#include <algorithm>
#include <utility>

#include "turmeric/gateway/gateway_metrics.h"
#include "turmeric/gateway/stage_call.h"
#include "turmeric/gateway/upstream_pools.h"

namespace turmeric::gateway {

using utils::Errc;
using utils::RunState;

namespace {

/**
 * Maximum number of calls of one stage; hedged calls count, but only retries
 * are refused at the limit.
 */
constexpr int kMaxAttempts = 4;

RoutingPolicy ParseRoutingPolicy(std::string_view routing) {
  if (routing == "round_robin") return RoutingPolicy::kRoundRobin;
  if (routing == "p2c") return RoutingPolicy::kPowerOfTwo;
  return RoutingPolicy::kPowerOfTwoEwma;
}

}  // namespace

PipelineRun::PipelineRun(RunContext context, RunRequest request,
                         std::function<void(const QByteArray&)> on_token,
                         std::function<void(const RunAnswer&)> on_done)
    : ctx_(context),
      req_(std::move(request)),
      on_token_(std::move(on_token)),
      on_done_(std::move(on_done)),
      current_input_(std::move(req_.input)) {
  deadline_timer_.setSingleShot(true);
  deadline_timer_.setTimerType(Qt::PreciseTimer);
  connect(&deadline_timer_, &QTimer::timeout, this, [this] { OnDeadline(); });
  hedge_timer_.setSingleShot(true);
  hedge_timer_.setTimerType(Qt::PreciseTimer);
  connect(&hedge_timer_, &QTimer::timeout, this, [this] {
    UpstreamPool& pool = ctx_.pools->PoolFor(req_.settings.business, stage());
    if (calls_.size() == 1 &&
        pool.hedge_budget().TrySpend(req_.settings.hedge_percent)) {
      StartCall(calls_.front()->spec().upstream.get());
    }
  });
}

void PipelineRun::Start() {
  deadline_timer_.start(std::max(0, RemainingMs()));
  RunStage();
}

int PipelineRun::RemainingMs() const {
  return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(
                              req_.deadline - std::chrono::steady_clock::now())
                              .count());
}

bool PipelineRun::StreamsCurrentStage() const {
  return req_.stream && stage().kind == "engine" &&
         stage_ + 1 == req_.settings.stages.size();
}

size_t PipelineRun::ClaimStage() const {
  const auto& stages = req_.settings.stages;
  const auto first =
      std::ranges::find(stages, false, &config::StageSpec::idempotent);
  return first - stages.begin();
}

RunState PipelineRun::StateIfEndedNow() const {
  // Guard: an attempt that does not hold the claim cannot answer "not run": an
  // older attempt with the same key may still run the request.
  const bool unclaimed = req_.acquire_claim && !claimed_;
  if (non_idempotent_sent_ || unclaimed) return RunState::kUnknown;
  return any_call_sent_ ? RunState::kFailed : RunState::kNotRun;
}

void PipelineRun::RunStage() {
  if (stage_ == req_.settings.stages.size()) {
    answer_.output = std::move(current_input_);
    Finish(RunState::kRan, Errc::kOk, "");
    return;
  }
  // Guard: a stage that starts with less than its minimum time would only be
  // aborted at the deadline. The run ends here instead, so that the caller is
  // answered at once.
  if (RemainingMs() < std::max(1, req_.settings.min_stage_ms)) {
    Finish(StateIfEndedNow(), Errc::kDeadlineExceeded,
           "deadline reached before stage " + stage().name);
    return;
  }
  if (req_.acquire_claim && !claimed_ && stage_ == ClaimStage()) {
    // The claim is acquired here and not on arrival: if the instance crashes
    // during the idempotent stages, no claim is left and a retry can run at
    // once.
    req_.acquire_claim([self = QPointer<PipelineRun>(this)](const Claim& c) {
      if (self && self->on_done_) self->OnClaim(c);
    });
    return;
  }
  UpstreamPool& pool = ctx_.pools->PoolFor(req_.settings.business, stage());
  pool.retry_budget().OnAttempt(req_.settings.retry_budget_percent);
  pool.hedge_budget().OnAttempt(req_.settings.hedge_percent);
  attempt_ = 0;
  StartCall(nullptr);
}

void PipelineRun::OnClaim(const Claim& claim) {
  switch (claim.state) {
    case ClaimState::kOwned:
      // Guard: the process may have been paused while the claim was acquired.
      // RunStage checks the deadline again, so that no call is sent for a
      // request that is already past it.
      claimed_ = true;
      RunStage();
      return;
    case ClaimState::kDone:
      answer_.replay = claim.result;
      Finish(RunState::kRan, Errc::kOk, "");
      return;
    case ClaimState::kKeyReused:
      // The key belongs to another request, so no other attempt ran this one.
      Finish(any_call_sent_ ? RunState::kFailed : RunState::kNotRun,
             Errc::kIdempotencyKeyReused,
             "the idempotency key was already used for another request");
      return;
    case ClaimState::kFree:
    case ClaimState::kInFlightElsewhere:
      Finish(RunState::kUnknown, Errc::kDuplicateInFlight,
             "another attempt with this idempotency key is in progress");
      return;
    case ClaimState::kStoreUnreachable:
      Finish(RunState::kUnknown, Errc::kStoreUnavailable,
             "cannot claim the idempotency key: store unavailable; this "
             "attempt ran no call that must not be repeated, an earlier "
             "attempt may have run one");
      return;
  }
}

void PipelineRun::StartCall(const UpstreamState* exclude) {
  UpstreamPool& pool = ctx_.pools->PoolFor(req_.settings.business, stage());
  const UpstreamRef upstream =
      pool.Pick(ParseRoutingPolicy(req_.settings.routing), *ctx_.rng,
                std::chrono::steady_clock::now(), exclude);
  if (upstream == nullptr) {
    if (!calls_.empty()) return;  // no upstream for a hedged call
    Finish(StateIfEndedNow(), Errc::kNoUpstream,
           "no upstream available for stage " + stage().name);
    return;
  }
  ++attempt_;
  StageCallSpec spec;
  spec.call_id =
      req_.request_id + "/" + stage().name + "/" + std::to_string(attempt_);
  spec.stage = stage();
  spec.upstream = upstream;
  spec.max_tokens = req_.max_tokens;
  spec.stream = StreamsCurrentStage();
  spec.resume_from = spec.stream ? streamed_tokens_ : 0;
  spec.trace = utils::ChildContext(req_.trace);
  if (!stage().idempotent) spec.idempotency_key = req_.idempotency_key;
  auto* call = new StageCall(
      std::move(spec),
      [this](const std::string& token) {
        streamed_text_ += (streamed_tokens_ > 0 ? " " : "") + token;
        ++streamed_tokens_;
        if (on_token_) on_token_(QByteArray::fromStdString(token));
      },
      [this](StageCall* ended, StageOutcome&& outcome) {
        OnCallDone(ended, std::move(outcome));
      });
  calls_.push_back(call);
  if (!stage().idempotent) non_idempotent_sent_ = true;
  call->Send(stage().idempotent ? *ctx_.network : *ctx_.non_persistent_network,
             current_input_);
  StartHedgeTimer();
}

void PipelineRun::StartHedgeTimer() {
  // Sending a slow call to a second server as well follows Nylander et al.,
  // "Modeling of Request Cloning in Cloud Server Systems using Processor
  // Sharing" (ICPE 2020): the first answer wins, the other call is cancelled.
  // Cloning every call adds load, which limits where cloning pays off; only
  // calls past the pool's 95th latency percentile are cloned here, within a
  // budget.
  if (req_.settings.hedge_percent == 0 || !stage().idempotent ||
      StreamsCurrentStage() || calls_.size() > 1) {
    return;
  }
  const double delay_ms = ctx_.pools->PoolFor(req_.settings.business, stage())
                              .hedge_delay()
                              .estimate_ms();
  if (delay_ms > 0) hedge_timer_.start(static_cast<int>(delay_ms) + 1);
}

void PipelineRun::Account(const StageCall& call, const StageOutcome& outcome) {
  const CallResult result = outcome.report.result;
  OnReport(*call.spec().upstream, outcome.report,
           std::chrono::steady_clock::now());
  if (result == CallResult::kMisdelivered) ctx_.metrics->OnMisdelivered();
  constexpr double kMsPerSecond = 1000.0;
  ctx_.metrics->OnStageCall(req_.settings.business, call.spec().stage.name,
                            outcome.report.ms / kMsPerSecond, outcome.tokens,
                            result);
  if (ctx_.spans) {
    ctx_.spans->Export({call.spec().trace, req_.trace.span_id,
                        "stage." + call.spec().stage.name, call.start_us(),
                        utils::NowUnixMicros() - call.start_us(),
                        "\"upstream\":\"" + call.spec().upstream->address +
                            "\",\"status\":" + std::to_string(outcome.status)});
  }
}

void PipelineRun::OnCallDone(StageCall* call, StageOutcome&& outcome) {
  std::erase(calls_, call);
  Account(*call, outcome);
  if (!CertainlyNotRun(outcome.report.result)) {
    any_call_sent_ = true;
  } else if (!stage().idempotent) {
    non_idempotent_sent_ = std::ranges::any_of(
        answer_.stages, [](const StageRecord& r) { return !r.idempotent; });
  }
  if (outcome.report.result == CallResult::kOk) {
    OnStageOk(*call, std::move(outcome));
  } else if (calls_.empty()) {
    // While another call is in flight, the stage may still succeed.
    OnStageFailed(*call, outcome);
  }
}

void PipelineRun::OnStageOk(const StageCall& call, StageOutcome&& outcome) {
  CancelCalls();
  ctx_.pools->PoolFor(req_.settings.business, stage())
      .hedge_delay()
      .Add(outcome.report.ms);
  constexpr double kMsPerSecond = 1000.0;
  answer_.stages.push_back({stage().name, call.spec().upstream->address,
                            outcome.report.ms / kMsPerSecond, outcome.tokens,
                            attempt_, stage().idempotent});
  current_input_ =
      std::move(call.spec().stream ? streamed_text_ : outcome.output);
  ++stage_;
  RunStage();
}

void PipelineRun::OnStageFailed(const StageCall& call,
                                const StageOutcome& outcome) {
  hedge_timer_.stop();
  const bool not_run = CertainlyNotRun(outcome.report.result);
  UpstreamPool& pool = ctx_.pools->PoolFor(req_.settings.business, stage());
  // A call that certainly did not run cost the upstream no work and marks it as
  // leaving or failing, so a retry on another upstream cannot cause a retry
  // storm. It does not consume the retry budget; otherwise the routine
  // replacement of an upstream would exhaust the budget and fail requests.
  const bool may_retry =
      (stage().idempotent || not_run) && attempt_ < kMaxAttempts &&
      RemainingMs() > req_.settings.min_stage_ms &&
      (not_run ||
       pool.retry_budget().TrySpend(req_.settings.retry_budget_percent));
  if (may_retry) {
    StartCall(call.spec().upstream.get());
    return;
  }
  const std::string detail = "stage " + stage().name + ": " + outcome.error;
  if (!stage().idempotent && !not_run) {
    Finish(RunState::kUnknown, Errc::kOutcomeUnknown, detail);
    return;
  }
  Finish(StateIfEndedNow(),
         outcome.report.result == CallResult::kMisdelivered
             ? Errc::kMisdelivered
             : Errc::kUpstreamFailed,
         detail);
}

void PipelineRun::OnDeadline() {
  // Guard: Qt's transfer timeout restarts with every byte received, so a slow
  // stream would outlive the deadline. A single timer per run ends it at the
  // deadline, whatever the state of its stages.
  if (!calls_.empty()) any_call_sent_ = true;
  const bool in_call = !calls_.empty();
  CancelCalls();
  Finish(StateIfEndedNow(),
         in_call ? Errc::kUpstreamTimeout : Errc::kDeadlineExceeded,
         "deadline reached in stage " + stage().name);
}

void PipelineRun::CancelCalls() {
  hedge_timer_.stop();
  for (StageCall* call : std::exchange(calls_, {})) {
    Account(*call, call->Cancel());
  }
}

void PipelineRun::Cancel() {
  if (!on_done_ || non_idempotent_sent_) return;
  if (!calls_.empty()) any_call_sent_ = true;
  CancelCalls();
  Finish(StateIfEndedNow(), Errc::kCallerGone,
         "the caller closed its connection");
}

void PipelineRun::Abort() {
  if (!on_done_) return;
  if (!calls_.empty()) any_call_sent_ = true;
  CancelCalls();
  answer_.aborted = true;
  Finish(StateIfEndedNow(),
         non_idempotent_sent_ ? Errc::kOutcomeUnknown : Errc::kDraining,
         "the instance stopped before the request ended");
}

void PipelineRun::Finish(RunState state, Errc code, std::string detail) {
  deadline_timer_.stop();
  hedge_timer_.stop();
  answer_.state = state;
  answer_.code = code;
  answer_.detail = std::move(detail);
  if (auto done = std::exchange(on_done_, nullptr)) done(answer_);
  deleteLater();
}

}  // namespace turmeric::gateway
