#include <QPointer>
#include <algorithm>
#include <string>
#include <utility>

#include "turmeric/entry/answer_check.h"
#include "turmeric/entry/engine_placement.h"
#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/entry_metrics.h"
#include "turmeric/entry/fair_shares.h"
#include "turmeric/entry/reach_monitor.h"
#include "turmeric/entry/request_quarantine.h"
#include "turmeric/entry/request_run.h"
#include "turmeric/entry/retry_after.h"
#include "turmeric/entry/retry_credit.h"
#include "turmeric/entry/retry_policy.h"
#include "turmeric/entry/send_permits.h"
#include "turmeric/entry/shared_work.h"
#include "turmeric/entry/stage_run.h"
#include "turmeric/entry/stream_origins.h"
#include "turmeric/entry/upstream_choice.h"
#include "turmeric/entry/upstream_criteria.h"
#include "turmeric/entry/upstream_send.h"
#include "turmeric/utils/decision_log.h"
#include "turmeric/utils/random_id.h"

namespace turmeric::entry {

using config::Mechanism;
using routing::Outcome;
using std::chrono::milliseconds;

namespace {

constexpr int kConflict = 409;
constexpr int kServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/** Interval at which an answer that is forwarded after the time limit must have
 * made progress, or wait for its caller. */
constexpr milliseconds kForwardCheckInterval{500};

}  // namespace

void RequestRun::OnStreamBytes(std::string_view bytes) {
  const AnswerInfo& info = send_->info();
  if (!info.has_receipt || info.attempt_id.empty() || info.not_run) return;
  const std::string events = forwarder_.Feed(bytes);
  if (events.empty() || !answer_.caller_connected()) return;
  evidence_.OnEvents(Clock::now());
  RecordOrigin();
  if (!answer_.streaming()) ForwardHead();
  send_->OnPromptRead();
  // `send_` is read when called: the stream may have been resumed at another
  // upstream by the time that the caller reads on.
  answer_.Write(events, [this](bool paused) { send_->PauseReading(paused); });
}

void RequestRun::OnForwardedBytes(std::string_view bytes) {
  if (!answer_.caller_connected()) return;
  if (!answer_.streaming()) {
    first_byte_ms_ = static_cast<int64_t>(MsSinceArrival());
    may_have_run_ = true;
    send_->OnPromptRead();
    answer_.BeginParts(send_->head(), send_->stated_length());
  }
  forwards_ = true;
  answer_.Write(bytes, [this](bool paused) { send_->PauseReading(paused); });
}

void RequestRun::RecordOrigin() {
  if (!route_->resumes_streams() || origin_recorded_) return;
  origin_recorded_ = true;
  stream_version_ = send_->upstream()->entry.version;
  const std::string& first_attempt =
      ResumesStream() && !request_.resumed_attempt_id.empty()
          ? request_.resumed_attempt_id
          : request_.attempt_id;
  context_.origins->OnBegun({admission_.organisation, first_attempt},
                            {service_, stream_version_}, route_->targets);
}

milliseconds RequestRun::PromptReadTime() const {
  return milliseconds(static_cast<int64_t>(PromptMs(request_)));
}

void RequestRun::ForwardHead() {
  first_byte_ms_ = static_cast<int64_t>(MsSinceArrival());
  if (sends_ == 1 && stages_done_ms_ >= 0) {
    context_.engine_times.Note(service_, PromptReadTime(),
                               milliseconds(first_byte_ms_ - stages_done_ms_));
  }
  answer_.BeginStream(send_->head());
}

void RequestRun::OnEnd() {
  if (!send_->has_head()) return OnFailure(http::ExchangeFailure::kMalformed);
  const http::ResponseHead& head = send_->head();
  if (send_->info().not_run) {
    const bool inputs_gone =
        head.status == kConflict && !stages_->inputs().empty();
    send_->End(inputs_gone ? Outcome::kAnswered : Outcome::kRefused);
    if (inputs_gone) {
      tried_upstreams_.pop_back();
      if (MayRetry(SendOutcome::kNotRun) && stages_->Restart("inputs_gone")) {
        return;
      }
    }
    return OnNotRun(SendOutcome::kNotRun);
  }
  may_have_run_ = true;
  const std::string_view fault =
      AnswerFault({.status = head.status,
                   .info = send_->info(),
                   .is_event_stream = send_->IsEventStream(),
                   .inside_event = forwarder_.inside_event(),
                   .ends_with_connection = send_->ends_with_connection(),
                   .has_event = forwarder_.events() > events_before_send_});
  if (!fault.empty()) {
    send_->End(Outcome::kBroken);
    return OnExchangeBroken(fault);
  }
  if (send_->ends_with_connection() && request_.method != "HEAD") {
    return ConfirmAnswerIsWhole();
  }
  OnWholeAnswer();
}

void RequestRun::ConfirmAnswerIsWhole() {
  const routing::UpstreamPtr upstream = send_->upstream();
  // The end of a process that is no longer listed is no evidence of a crash.
  std::vector<InterruptedRequest> interrupted;
  if (upstream->listed) interrupted.push_back(evidence_.Interrupted());
  const QPointer<RequestRun> self(this);
  context_.quarantine->OnExchangesBroken(
      upstream, std::move(interrupted),
      [this, self, upstream](ProcessState state) {
        if (!self || finished_) return;
        if (state != ProcessState::kUnknown) return OnProcessProbed(state);
        context_.reach->FindProcessState(upstream,
                                         [this, self](ProcessState found) {
                                           if (self && !finished_) {
                                             OnProcessProbed(found);
                                           }
                                         });
      });
}

void RequestRun::OnProcessProbed(ProcessState state) {
  if (state == ProcessState::kRuns) return OnWholeAnswer();
  // Guard: the system closes the connections of a killed process in the orderly
  // way, so the answer is complete only if the process outlives it.
  send_->End(Outcome::kBroken);
  OnRunBroken("answer_cut");
  AfterCrashProbe("answer_cut");
}

void RequestRun::RecordOutput() {
  if (!UsesEngineRoom(context_, service_)) return;
  // Other streams do not show the whole output.
  if (!route_->carries_prompt || sends_ > 1 || ResumesStream()) return;
  context_.output_estimate.Note(route_->name, {.events = forwarder_.events(),
                                               .tokens = std::nullopt,
                                               .hinted = request_.output_hint});
}

void RequestRun::OnWholeAnswer() {
  const http::ResponseHead& head = send_->head();
  evidence_.OnAnswered(head.status, Clock::now());
  if (send_->IsEventStream()) {
    RecordOutput();
    send_->End(Outcome::kAnswered);
    return ForwardAnswer();
  }
  const bool upstream_error = head.status >= kServerError;
  send_->End(upstream_error ? Outcome::kError : Outcome::kAnswered);
  if (answer_.streaming() && !send_->forwarded()) return OnStreamNotResumed();
  if (upstream_error && route_->retryable() &&
      MayRetry(SendOutcome::kMayHaveRun)) {
    const size_t replaced = last_error_ ? last_error_->body.size() : 0;
    request_charge_.Set(request_charge_.bytes() - replaced +
                        send_->body().size());
    last_error_ =
        http::ResponseMessage{head.status, head.headers, send_->body()};
    return Retry();
  }
  ForwardAnswer();
}

void RequestRun::OnStreamNotResumed() {
  utils::DecisionLog("answer_not_forwarded")
      .Add("request", request_.attempt_id)
      .Add("upstream", send_->upstream()->entry.id)
      .Add("status", send_->head().status)
      .Add("send", sends_)
      .Add("answer", answer_.state())
      .Add("events", forwarder_.events())
      .Add("connection", send_->connection_id())
      .Add("exchange", send_->exchange_number());
  if (route_->retryable() && MayRetry(SendOutcome::kMayHaveRun)) {
    return Retry();
  }
  Fail(kBadGateway, "stream_not_resumed");
}

void RequestRun::OnFailure(http::ExchangeFailure failure) {
  if (failure == http::ExchangeFailure::kNotSent) {
    send_->End(Outcome::kNotSent);
    ++unreached_sends_;
    return OnNotRun(SendOutcome::kUnreached);
  }
  may_have_run_ = true;
  send_->End(Outcome::kBroken);
  OnExchangeBroken(failure == http::ExchangeFailure::kNoAnswer ? "no_answer"
                   : failure == http::ExchangeFailure::kTruncated
                       ? "answer_cut"
                       : "malformed_answer");
}

void RequestRun::OnNotRun(SendOutcome outcome) {
  utils::DecisionLog("upstream_did_not_run")
      .Add("request", request_.attempt_id)
      .Add("work", evidence_.traits().fingerprint)
      .Add("upstream", send_->upstream()->entry.id)
      .Add("status", send_->head().status)
      .Add("answer", answer_.state())
      .Add("connection", send_->connection_id())
      .Add("exchange", send_->exchange_number())
      .Add("sends", sends_)
      .Add("left_ms", TimeLeft().count());
  // A retry that another upstream would turn away only costs credit.
  const auto rest = outcome == SendOutcome::kNotRun
                        ? RestBeforeRetry(context_, {service_, stream_version_},
                                          tried_upstreams_)
                        : std::nullopt;
  if (!rest && MayRetry(outcome)) return Retry();
  if (rest && *rest > milliseconds(0)) return OnAllResting(*rest);
  if (answer_.streaming()) return Fail(kBadGateway, "stream_not_resumed");
  if (may_have_run_) return Fail(kBadGateway, "not_repeated");
  Refuse("upstreams_full", RetryAfter::kSoon);
}

void RequestRun::OnRunBroken(std::string_view why) {
  utils::DecisionLog("upstream_broke_off")
      .Add("request", request_.attempt_id)
      .Add("work", evidence_.traits().fingerprint)
      .Add("parts", quarantine::JoinParts(evidence_.traits().parts))
      .Add("organisation", admission_.organisation)
      .Add("upstream", send_->upstream()->entry.id)
      .Add("version", send_->upstream()->entry.version)
      .Add("why", why)
      .Add("events", forwarder_.events())
      .Add("answer", answer_.state())
      .Add("connection", send_->connection_id())
      .Add("exchange", send_->exchange_number())
      .Add("sends", sends_)
      .Add("left_ms", TimeLeft().count());
  forwarder_.OnRunEnded();
}

void RequestRun::OnExchangeBroken(std::string_view why) {
  OnRunBroken(why);
  const QPointer<RequestRun> self(this);
  auto after_probe = [self, reason = std::string(why)](ProcessState /*state*/) {
    if (!self || self->finished_) return;
    self->AfterCrashProbe(reason);
  };
  context_.quarantine->OnExchangesBroken(
      send_->upstream(), {evidence_.Interrupted()}, std::move(after_probe));
  // Only a retry depends on the result of the probe.
  if (!route_->retryable()) Fail(kBadGateway, why);
}

void RequestRun::AfterCrashProbe(std::string_view why) {
  if (route_->retryable() && MayRetry(SendOutcome::kMayHaveRun)) {
    return Retry();
  }
  Fail(kBadGateway, why);
}

bool RequestRun::MayRetry(SendOutcome outcome) {
  if (evidence_.RemainingQuarantine()) return false;
  // The caller has the beginning of this upstream's answer; that of another run
  // may differ.
  if (send_->forwarded()) return false;
  if (outcome == SendOutcome::kUnreached &&
      !context_.Uses(Mechanism::kTryNext)) {
    outcome = SendOutcome::kNotRun;
  }
  const RetryDecision decision =
      DecideRetry({.outcome = outcome,
                   .connected = answer_.caller_connected(),
                   .time_left = TimeLeft(),
                   .received_sends = sends_ - unreached_sends_,
                   .max_sends = route_->max_attempts,
                   .tried_upstreams = tried_upstreams_.size()});
  return decision == RetryDecision::kFree ||
         (decision == RetryDecision::kFromBudget &&
          SpendRetryCredit(context_, service_, request_.attempt_id));
}

void RequestRun::Retry() {
  context_.metrics->OnRetry(service_);
  if (!stages_->inputs_released() && !stages_->inputs_lost()) {
    return SendToUpstream();
  }
  if (stages_->Restart("send_again")) return;
  if (may_have_run_) return Fail(kBadGateway, "no_time_for_stages");
  Refuse("no_time_for_stages", RetryAfter::kSoon);
}

// The final answer.

void RequestRun::ForwardAnswer() {
  if (!answer_.caller_connected()) return;
  const http::ResponseHead& head = send_->head();
  if (sends_ > 1) {
    utils::DecisionLog("later_answer_forwarded")
        .Add("request", request_.attempt_id)
        .Add("upstream", send_->upstream()->entry.id)
        .Add("status", head.status)
        .Add("event_stream", send_->IsEventStream())
        .Add("send", sends_)
        .Add("answer", answer_.state())
        .Add("events", forwarder_.events())
        .Add("connection", send_->connection_id())
        .Add("exchange", send_->exchange_number());
  }
  if (send_->IsEventStream()) {
    if (!answer_.streaming()) ForwardHead();
    answer_.EndStream();
  } else if (send_->forwarded()) {
    answer_.EndStream();
  } else {
    answer_.Respond({head.status, head.headers, send_->body()});
  }
  Finish(head.status, "answered");
}

void RequestRun::Refuse(std::string_view why, RetryAfter when) {
  Refuse(why, RetryAfterDelay(when, utils::RandomFraction()));
}

void RequestRun::Refuse(std::string_view why, milliseconds retry_after) {
  // A caller that has received events takes no refusal.
  if (answer_.streaming()) return Fail(kBadGateway, why);
  if (!answer_.caller_connected()) return;
  answer_.Respond(context_.wire.encode_local_answer(
      kUnavailable, request_.attempt_id, retry_after));
  Finish(kUnavailable, why);
}

bool RequestRun::RefuseIfOverShare() {
  if (!SharesCapacity(context_, service_, *route_)) return false;
  auto admission =
      context_.shares->Admit(service_, admission_.organisation, route_->name);
  shared_work_ = std::move(admission.work);
  if (shared_work_) return false;
  Refuse("over_share", admission.retry_after);
  return true;
}

void RequestRun::Fail(int status, std::string_view why) {
  if (!answer_.caller_connected()) return;
  if (answer_.streaming()) {
    answer_.Abort();
  } else if (last_error_ && status >= kServerError) {
    answer_.Respond(*last_error_);
  } else {
    answer_.Respond(context_.wire.encode_local_answer(
        status, request_.attempt_id, milliseconds(0)));
  }
  Finish(status, why);
}

void RequestRun::OnTimeLimit() {
  // Guard: `limit` leaves time for a final answer to reach the caller. A stream
  // in progress needs no such margin and continues until `stream_limit`.
  const auto stream_left = admission_.stream_limit - Clock::now();
  if (answer_.streaming() && send_->open() && stream_left > milliseconds(0)) {
    return limit_timer_.start(std::chrono::ceil<milliseconds>(stream_left));
  }
  if (finished_) return;
  // An answer that has begun is delivered, however slowly its caller reads it.
  if (send_ && send_->forwarded() &&
      (std::exchange(forwards_, false) || answer_.paused())) {
    return limit_timer_.start(kForwardCheckInterval);
  }
  const bool sent = MayHaveRun();
  if (send_ && answer_.paused()) {
    // The caller reads too slowly; the upstream has not failed.
    send_->Abandon();
  } else if (send_ && send_->open()) {
    send_->Cancel(Outcome::kTimeout);
  }
  if (sent) return Fail(kGatewayTimeout, "time_limit");
  Refuse("time_limit_before_send", RetryAfter::kLater);
}

bool RequestRun::MayHaveRun() const {
  return may_have_run_ || (send_ && send_->open());
}

}  // namespace turmeric::entry
