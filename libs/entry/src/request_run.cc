#include "turmeric/entry/request_run.h"

#include <QPointer>
#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

#include "turmeric/entry/answer_check.h"
#include "turmeric/entry/brittle_upstreams.h"
#include "turmeric/entry/config_check.h"
#include "turmeric/entry/engine_placement.h"
#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/entry_metrics.h"
#include "turmeric/entry/request_quarantine.h"
#include "turmeric/entry/retry_after.h"
#include "turmeric/entry/retry_credit.h"
#include "turmeric/entry/retry_policy.h"
#include "turmeric/entry/send_permits.h"
#include "turmeric/entry/stage_run.h"
#include "turmeric/entry/stream_origins.h"
#include "turmeric/entry/traits_of.h"
#include "turmeric/entry/upstream_choice.h"
#include "turmeric/entry/upstream_connections.h"
#include "turmeric/entry/upstream_criteria.h"
#include "turmeric/entry/upstream_limiter.h"
#include "turmeric/entry/upstream_send.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using config::Mechanism;
using routing::Outcome;
using routing::RequestKind;
using stages::PieceFailure;
using std::chrono::milliseconds;

namespace {

constexpr int kConflict = 409;
constexpr int kServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/**
 * Outcome of a request that is refused because upstreams crash while running
 * it.
 */
constexpr std::string_view kQuarantined = "quarantined";

/** Time from the send of a request until its engine has fetched the inputs,
 * which it does before it reads the prompt. */
constexpr milliseconds kInputFetchTime{50};
/** Delay before the next choice of an upstream when all have received as many
 * requests as they could serve when cold, and the largest number of such
 * delays. A request that waits for longer misses its latency target. */
constexpr milliseconds kColdWait{100};
constexpr int kMaxColdWaits = 8;
/** Longest wait for the end of a rest, by a request that can no longer be
 * refused. */
constexpr milliseconds kMaxRestWait{1000};
/** Delay before the next choice of an upstream when this instance has no free
 * connection to any, and the largest number of such delays: a loan takes a few
 * round trips. */
constexpr milliseconds kConnectionWait{25};
constexpr int kMaxConnectionWaits = 16;
/** Largest number of such delays while all upstreams with room are brittle. */
constexpr int kMaxBrittleWaits = 2;
/** Engine priorities are 0 (first) to this value. */
constexpr int kLowestEnginePriority = 9;

/** Value of a log field for a request that resumes no stream. */
constexpr int64_t kNoEvent = -1;

double Uniform() {
  static std::mt19937_64 engine{std::random_device{}()};
  return std::uniform_real_distribution<double>(0, 1)(engine);
}

}  // namespace

RequestRun::RequestRun(EntryContext& context,
                       http::ServerConnection& connection,
                       CallerRequest request, QObject* parent)
    : QObject(parent),
      context_(context),
      answer_(connection, [this] { OnCallerDisconnected(); }),
      evidence_(context),
      request_(std::move(request)),
      arrived_(Clock::now()) {}

RequestRun::~RequestRun() {
  // No other log line is written for requests in flight when a process ends.
  if (!finished_) LogEnd(0, "cut_by_exit", MsSinceArrival());
}

milliseconds RequestRun::TimeLeft() const {
  return std::chrono::duration_cast<milliseconds>(admission_.limit -
                                                  Clock::now());
}

double RequestRun::MsSinceArrival() const {
  return std::chrono::duration<double, std::milli>(Clock::now() - arrived_)
      .count();
}

void RequestRun::Start() {
  if (!Admitted()) return;
  limit_timer_.setSingleShot(true);
  limit_timer_.setTimerType(Qt::PreciseTimer);
  connect(&limit_timer_, &QTimer::timeout, this, [this] { OnTimeLimit(); });
  limit_timer_.start(std::max(milliseconds(1), TimeLeft()));
  if (!ResumesStream()) {
    return Begin(routing::PickTarget(route_->targets, Uniform()));
  }
  context_.origins->Find(
      {admission_.organisation, request_.resumed_attempt_id}, route_->targets,
      [this, self = QPointer<RequestRun>(this)](const auto& origin) {
        if (self && !finished_) OnOriginFound(origin);
      });
}

bool RequestRun::ResumesStream() const {
  return route_->resumes_streams() && request_.last_event_id.has_value();
}

void RequestRun::OnOriginFound(
    const std::optional<streams::StreamOrigin>& origin) {
  // Another instance may know the origin.
  if (!origin) return Refuse("stream_origin_unknown", RetryAfter::kSoon);
  if (origin->service.empty()) {
    return Begin(routing::PickTarget(route_->targets, Uniform()));
  }
  const bool allowed = std::ranges::any_of(
      route_->targets, [&origin](const routing::RouteTarget& target) {
        return target.service == origin->service;
      });
  if (!allowed) return Refuse("stream_service_gone", RetryAfter::kLater);
  stream_version_ = origin->version;
  Begin(origin->service);
}

void RequestRun::Begin(std::string service) {
  service_ = std::move(service);
  evidence_.set_service(service_);
  if (AnswerIfQuarantined()) return;
  permits_ = std::make_unique<SendPermits>(*context_.limiter, service_);
  context_.retries.OnRequest(service_, Clock::now());
  if (!HasUpstreams(context_, {service_, stream_version_}, *route_,
                    request_.stage_pieces)) {
    return Refuse("no_upstream", RetryAfter::kLater);
  }
  if (const auto rest = RestLeft(context_, {service_, stream_version_});
      rest && *rest > StageTime()) {
    return RefuseForRest(*rest);
  }
  StartStages();
}

milliseconds RequestRun::StageTime() const {
  milliseconds time{0};
  const size_t stages =
      std::min(route_->stages.size(), request_.stage_pieces.size());
  for (size_t i = 0; i < stages; ++i) {
    if (request_.stage_pieces[i] <= 0) continue;
    time += context_.stage_times.Expected(route_->stages[i].service);
  }
  return time;
}

bool RequestRun::Admitted() {
  table_ = context_.table;
  AdmissionState state{.table = table_.get(),
                       .upstreams_known = context_.upstreams_known,
                       .store_unreachable = context_.store_unreachable,
                       .since_stop = {},
                       .stop_grace = context_.settings.stop_grace};
  if (context_.stopping_since) {
    state.since_stop = std::chrono::duration_cast<milliseconds>(
        arrived_ - *context_.stopping_since);
  }
  admission_ = Admit(request_, state, arrived_);
  if (IsFinal(admission_.refusal)) {
    if (!config_is_latest_) {
      CheckConfigIsLatest();
      return false;
    }
    if (!*config_is_latest_) {
      admission_.refusal = AdmissionRefusal::kConfigUnconfirmed;
    }
  }
  route_ = admission_.route;
  evidence_.SetRequest(TraitsOf(request_, admission_.organisation),
                       request_.attempt_id);
  if (admission_.refusal == AdmissionRefusal::kNone) {
    if (AnswerIfQuarantined()) return false;
    if (!context_.Uses(Mechanism::kUsualDeadlines)) return true;
    time_used_ =
        context_.usual_deadlines.TimeUsed(route_->name, request_.deadline);
    return true;
  }
  const RefusalAnswer answer = AnswerTo(admission_.refusal);
  if (answer.retry_after) {
    Refuse(answer.why, *answer.retry_after);
  } else {
    Fail(answer.status, answer.why);
  }
  return false;
}

void RequestRun::CheckConfigIsLatest() {
  const QPointer<RequestRun> self(this);
  context_.config_check->Confirm([self](bool is_latest) {
    if (!self || self->finished_) return;
    self->config_is_latest_ = is_latest;
    self->Start();
  });
}

bool RequestRun::AnswerIfQuarantined() {
  const auto remaining = evidence_.RemainingQuarantine();
  if (!remaining) return false;
  if (may_have_run_) {
    Fail(kBadGateway, kQuarantined);
  } else {
    Refuse(kQuarantined, *remaining);
  }
  return true;
}

void RequestRun::StartStages() {
  stages_ = std::make_unique<StageRun>(
      *context_.stages,
      StagePlan{.request = request_,
                .route = *route_,
                .fingerprint = evidence_.traits().fingerprint,
                .rank = admission_.rank,
                .due = arrived_ + route_->latency_target - time_used_,
                .deadline = admission_.first_byte_limit,
                .engine_time =
                    context_.engine_times.Expected(service_, PromptReadTime()),
                .times = context_.stage_times,
                .mechanisms = context_.settings.mechanisms},
      StageRunEvents{
          .on_ready =
              [this] {
                stages_done_ms_ = static_cast<int64_t>(MsSinceArrival());
                SendToUpstream();
              },
          .on_failed =
              [this](const stages::PieceResult& r) { OnStageFailed(r); },
          .engine_zone =
              [this] {
                if (!route_->carries_prompt) return context_.settings.zone;
                return AffinityZone(context_, service_,
                                    MakeUpstreamCriteria({}));
              },
          .find_producer =
              [this](const std::string& service, const std::string& handle) {
                return context_.upstreams.FindAt(
                    service, context_.wire.handle_address(handle));
              }});
  if (stages_->done()) return SendToUpstream();
  stages_->Start();
}

void RequestRun::OnStageFailed(const stages::PieceResult& result) {
  const PieceFailure failure = result.failure;
  if (failure == PieceFailure::kQuarantined && AnswerIfQuarantined()) return;
  if (may_have_run_) return Fail(kBadGateway, "stage_failed");
  if (failure == PieceFailure::kResting) {
    return Refuse("stage_upstreams_resting",
                  RetryAfterDelay(result.available_in, Uniform()));
  }
  if (failure != PieceFailure::kLate) {
    return Refuse("stage_failed", RetryAfter::kSoon);
  }
  // The stage is late only because this process is stopping; another instance
  // has more time.
  if (context_.stop()) return Refuse("stopping", RetryAfter::kImmediately);
  Refuse("stage_failed", RetryAfter::kAfterOverload);
}

// Sending to an upstream.

UpstreamCriteria RequestRun::MakeUpstreamCriteria(
    std::string_view results_zone) const {
  return {.request = request_,
          .tried = excluded_upstreams_,
          .own_zone = context_.settings.zone,
          .results_zone = results_zone,
          .version = stream_version_};
}

void RequestRun::SendToUpstream() {
  if (TimeLeft() <= milliseconds(0)) return OnTimeLimit();
  excluded_upstreams_ = permits_->Excluded(tried_upstreams_, Clock::now());
  // The owner of the placements does not know the rests of this instance.
  std::ranges::move(RestingIds(context_, service_),
                    std::back_inserter(excluded_upstreams_));
  std::ranges::move(context_.connections->WithoutFree(service_),
                    std::back_inserter(excluded_upstreams_));
  const std::string results_zone = stages_->inputs_zone();
  const UpstreamCriteria wanted = MakeUpstreamCriteria(results_zone);
  const bool suspect =
      context_.quarantine->IsSuspect(evidence_.traits().fingerprint);
  const bool has_owner =
      route_->carries_prompt || context_.brittle->Any(service_);
  if (suspect || !has_owner) {
    return SendTo(ChooseLocally(context_,
                                {.service = service_,
                                 .fingerprint = evidence_.traits().fingerprint,
                                 .has_owner = route_->carries_prompt,
                                 .suspect = suspect},
                                ToChoiceRequest(wanted)));
  }
  peer::PlacementOrder order = ToPlacementOrder(wanted);
  order.service = service_;
  if (!route_->carries_prompt) {
    order.zone = context_.settings.zone;
    order.zone_cost_ms = kOtherZoneMs;
  }
  placement_ = std::make_unique<EnginePlacement>(*context_.placer);
  placement_->Choose(
      std::move(order), [this](const routing::UpstreamPtr& u) { SendTo(u); },
      request_.attempt_id);
}

bool RequestRun::WaitForCapacity() {
  const bool brittle = context_.brittle->Any(service_);
  if (!brittle && !MayHaveCapacitySoon(context_, {service_, stream_version_},
                                       tried_upstreams_)) {
    return false;
  }
  if (++cold_waits_ > (brittle ? kMaxBrittleWaits : kMaxColdWaits)) {
    return false;
  }
  utils::DecisionLog(brittle ? "brittle_full" : "cold_limit_reached")
      .Add("request", request_.attempt_id)
      .Add("service", service_)
      .Add("waits", cold_waits_);
  placement_.reset();
  QTimer::singleShot(kColdWait, this, [this] {
    if (!finished_) SendToUpstream();
  });
  return true;
}

void RequestRun::AcquirePermit(const routing::UpstreamPtr& upstream) {
  permits_->Acquire(
      upstream,
      [this, self = QPointer<RequestRun>(this)](const auto& granted) {
        if (!self || finished_) return;
        if (granted) return SendTo(granted, true);
        placement_.reset();
        SendToUpstream();
      },
      Clock::now());
}

bool RequestRun::AcquireAnyPermit() {
  const auto now = Clock::now();
  const auto until_target = std::chrono::duration_cast<milliseconds>(
      arrived_ + route_->latency_target - now);
  placement_.reset();
  std::vector<std::string> excluded = RestingIds(context_, service_);
  excluded.insert(excluded.end(), tried_upstreams_.begin(),
                  tried_upstreams_.end());
  return permits_->AcquireAny(
      stream_version_, excluded, MaxPermitWait(until_target, TimeLeft()),
      [this, self = QPointer<RequestRun>(this)](const auto& granted) {
        if (self && !finished_) SendTo(granted, true);
      },
      now);
}

void RequestRun::OnAllResting(milliseconds rest) {
  if (!may_have_run_ && !answer_.streaming()) return RefuseForRest(rest);
  if (rest > kMaxRestWait || rest + kMaxRestWait > TimeLeft()) {
    return Fail(kBadGateway, "upstreams_resting");
  }
  placement_.reset();
  QTimer::singleShot(rest, this, [this] {
    if (!finished_) SendToUpstream();
  });
}

void RequestRun::RefuseForRest(milliseconds rest) {
  utils::DecisionLog("upstreams_resting")
      .Add("request", request_.attempt_id)
      .Add("service", service_)
      .Add("rests_ms", DescribeRests(context_, service_));
  Refuse("upstreams_resting", RetryAfterDelay(rest, Uniform()));
}

void RequestRun::OnNoConnection(const routing::Upstream& upstream) {
  context_.connections->OnShortage(upstream, request_.attempt_id);
  placement_.reset();
  // The owner of the placements did not know of the shortage.
  if (++connection_waits_ < kMaxConnectionWaits) return SendToUpstream();
  RefuseWithoutUpstream();
}

bool RequestRun::WaitForConnection() {
  const auto upstreams = UpstreamsWithoutConnection(
      context_, {service_, stream_version_}, tried_upstreams_);
  if (upstreams.empty() || connection_waits_ >= kMaxConnectionWaits ||
      TimeLeft() < kMaxConnectionWaits * kConnectionWait) {
    return false;
  }
  // Requests that wait at the same time order connections to different
  // upstreams.
  const routing::Upstream& upstream = *upstreams[static_cast<size_t>(
      Uniform() * static_cast<double>(upstreams.size()))];
  if (connection_waits_++ == 0) {
    context_.connections->OnShortage(upstream, request_.attempt_id);
  } else {
    context_.connections->Order(upstream);
  }
  placement_.reset();
  QTimer::singleShot(kConnectionWait, this, [this] {
    if (!finished_) SendToUpstream();
  });
  return true;
}

void RequestRun::RefuseWithoutUpstream() {
  const bool lacks_connection =
      !UpstreamsWithoutConnection(context_, {service_, stream_version_},
                                  tried_upstreams_)
           .empty();
  if (may_have_run_) {
    return Fail(kBadGateway,
                lacks_connection ? "no_connection_left" : "no_upstream_left");
  }
  if (lacks_connection) {
    return Refuse("connections_used_up", RetryAfter::kSoon);
  }
  if (!permits_->exhausted()) {
    return context_.brittle->Any(service_)
               ? Refuse("brittle_full", RetryAfter::kAfterOverload)
               : Refuse("no_upstream", RetryAfter::kLater);
  }
  Refuse("rate_limited",
         context_.limiter->RefusalDelay(service_, Uniform(), Clock::now()));
}

void RequestRun::SendTo(const routing::UpstreamPtr& upstream, bool permitted) {
  if (TimeLeft() <= milliseconds(0)) return OnTimeLimit();
  // Upstreams may have crashed while running copies of the request during its
  // stages.
  if (AnswerIfQuarantined()) return;
  if (!upstream) {
    if (const auto rest = RestLeft(context_, {service_, stream_version_})) {
      return OnAllResting(*rest);
    }
    if (AcquireAnyPermit() || WaitForCapacity() || WaitForConnection()) return;
    return RefuseWithoutUpstream();
  }
  // The request may have waited since the choice.
  if (!MaySend(*upstream, Clock::now())) {
    placement_.reset();
    return SendToUpstream();
  }
  if (!context_.connections->HasFree(*upstream)) {
    return OnNoConnection(*upstream);
  }
  if (!permitted && context_.limiter->IsLimited(*upstream)) {
    return AcquirePermit(upstream);
  }
  permits_->OnSent();
  evidence_.OnSend();
  ++sends_;
  events_before_send_ = forwarder_.events();
  tried_upstreams_.push_back(upstream->entry.id);
  send_ = std::make_unique<UpstreamSend>(
      context_,
      UpstreamSendSpec{
          .upstream = upstream,
          .attempt_id = request_.attempt_id,
          .prompt_ms = route_->carries_prompt ? PromptMs(request_) : 0,
          .placement = std::move(placement_),
          .may_be_stream = route_->kind == RequestKind::kStream},
      SendEvents());
  send_->Start(context_.wire.encode_call(CallTo(*upstream)));
  context_.connections->OnSend(*upstream);
  ReleaseInputsOnceFetched();
}

UpstreamCall RequestRun::CallTo(const routing::Upstream& upstream) const {
  UpstreamCall call{.request = request_,
                    .time_left = TimeLeft(),
                    .upstream_id = upstream.entry.id,
                    .organisation = admission_.organisation,
                    .last_event_id = forwarder_.last_event_id()
                                         ? forwarder_.last_event_id()
                                         : request_.last_event_id,
                    .inputs = stages_->inputs(),
                    .engine_priority = {}};
  if (route_->carries_prompt && context_.Uses(Mechanism::kEnginePriority)) {
    call.engine_priority =
        std::clamp(admission_.rank, 0, kLowestEnginePriority);
  }
  return call;
}

void RequestRun::ReleaseInputsOnceFetched() {
  if (stages_->inputs().empty()) return;
  if (!context_.Uses(Mechanism::kEarlyRelease)) return;
  // Capacity for results is the resource that stage upstreams exhaust first.
  // The results are released once fetched instead of when the answer begins.
  QTimer::singleShot(kInputFetchTime, this, [this, send = sends_] {
    if (!finished_ && send_->open() && sends_ == send) stages_->ReleaseAll();
  });
}

UpstreamSendEvents RequestRun::SendEvents() {
  return {.on_stream_bytes = [this](std::string_view b) { OnStreamBytes(b); },
          .on_end = [this] { OnEnd(); },
          .on_failure = [this](http::ExchangeFailure f) { OnFailure(f); },
          .on_too_large =
              [this] {
                may_have_run_ = true;
                OnExchangeBroken("answer_too_large");
              }};
}

void RequestRun::OnStreamBytes(std::string_view bytes) {
  const AnswerInfo& info = send_->info();
  if (!info.has_receipt || info.attempt_id.empty()) return;
  const std::string events = forwarder_.Feed(bytes);
  if (events.empty() || !answer_.caller_connected()) return;
  evidence_.OnEvents(Clock::now());
  RecordOrigin();
  if (!answer_.streaming()) ForwardHead();
  send_->OnPromptRead();
  // `send_` is read when called: the stream may have been resumed at another
  // upstream by the time that the caller reads on.
  answer_.WriteEvents(events,
                      [this](bool paused) { send_->PauseReading(paused); });
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
  const routing::UpstreamPtr& upstream = send_->upstream();
  // An upstream that leaves may exit after its last answer.
  if (!upstream->listed || IsLeaving(*upstream)) return OnWholeAnswer();
  context_.quarantine->OnExchangesBroken(
      upstream, {evidence_.Interrupted()},
      [this, self = QPointer<RequestRun>(this)](bool has_ended) {
        if (!self || finished_) return;
        if (!has_ended) return OnWholeAnswer();
        send_->End(Outcome::kBroken);
        OnRunBroken("answer_cut");
        AfterCrashProbe("answer_cut");
      });
}

void RequestRun::OnWholeAnswer() {
  const http::ResponseHead& head = send_->head();
  evidence_.OnAnswered(head.status, Clock::now());
  if (send_->IsEventStream()) {
    send_->End(Outcome::kAnswered);
    return ForwardAnswer();
  }
  const bool upstream_error = head.status >= kServerError;
  send_->End(upstream_error ? Outcome::kError : Outcome::kAnswered);
  if (upstream_error && route_->retryable() &&
      MayRetry(SendOutcome::kMayHaveRun)) {
    last_error_ =
        http::ResponseMessage{head.status, head.headers, send_->body()};
    return Retry();
  }
  ForwardAnswer();
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
      .Add("sends", sends_)
      .Add("left_ms", TimeLeft().count());
  forwarder_.OnRunEnded();
}

void RequestRun::OnExchangeBroken(std::string_view why) {
  OnRunBroken(why);
  const QPointer<RequestRun> self(this);
  auto after_probe = [self, reason = std::string(why)](bool /*has_ended*/) {
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
  if (send_->IsEventStream()) {
    if (!answer_.streaming()) ForwardHead();
    answer_.EndStream();
  } else {
    answer_.Respond({head.status, head.headers, send_->body()});
  }
  Finish(head.status, "answered");
}

void RequestRun::Refuse(std::string_view why, RetryAfter when) {
  Refuse(why, RetryAfterDelay(when, Uniform()));
}

void RequestRun::Refuse(std::string_view why, milliseconds retry_after) {
  if (!answer_.caller_connected()) return;
  answer_.Respond(context_.wire.encode_local_answer(
      kUnavailable, request_.attempt_id, retry_after));
  Finish(kUnavailable, why);
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
  const bool sent = MayHaveRun();
  if (send_ && send_->open()) send_->Cancel(Outcome::kTimeout);
  if (sent) return Fail(kGatewayTimeout, "time_limit");
  Refuse("time_limit_before_send", RetryAfter::kLater);
}

bool RequestRun::MayHaveRun() const {
  return may_have_run_ || (send_ && send_->open());
}

void RequestRun::OnPlannedStop(Clock::time_point last_answers) {
  if (stages_) stages_->LimitDeadline(last_answers);
}

// Guard: if the process ends with the request in flight, its connection closes
// without an answer; the caller cannot tell whether the request has run and
// does not retry. The answer states that it may have run, or that the caller
// may retry at another instance at once.
void RequestRun::AnswerBeforeExit() {
  if (finished_ || answer_.streaming()) return;
  const bool sent = MayHaveRun();
  // The end of this process is not a timeout of the upstream. Recorded as one,
  // it would make other instances avoid a working upstream.
  if (send_) send_->Abandon();
  if (sent) return Fail(kGatewayTimeout, "stopped");
  Refuse("stopped_before_send", RetryAfter::kImmediately);
}

void RequestRun::OnCallerDisconnected() {
  if (finished_) return;
  if (send_) send_->Abandon();
  Finish(0, "caller_gone");
}

std::string_view RequestRun::Phase() const {
  if (answer_.streaming()) return "answer";
  if (send_ && send_->open()) return "sent";
  if (placement_) return "placement";
  return stages_ && !stages_->done() ? "stages" : "admission";
}

void RequestRun::LogEnd(int status, std::string_view outcome, double ms) const {
  utils::DecisionLog("request_end")
      .Add("request", request_.attempt_id)
      .Add("route", route_ ? route_->name : "-")
      .Add("config", table_ ? table_->version : 0)
      .Add("status", status)
      .Add("outcome", outcome)
      .Add("upstream", send_ ? send_->upstream()->entry.id : "-")
      .Add("version", send_ ? send_->upstream()->entry.version : "-")
      .Add("phase", Phase())
      .Add("sends", sends_)
      .Add("events", forwarder_.events())
      .Add("target_ms", route_ ? route_->latency_target.count() : 0)
      .Add("used_ms", time_used_.count())
      .Add("stages_ms", stages_done_ms_)
      .Add("first_ms", first_byte_ms_)
      .Add("work", evidence_.traits().fingerprint)
      .Add("parts", quarantine::JoinParts(evidence_.traits().parts))
      .Add("after_event", request_.last_event_id.value_or(kNoEvent))
      .Add("resumes", request_.resumed_attempt_id)
      .Add("ms", static_cast<int64_t>(ms));
}

void RequestRun::Finish(int status, std::string_view outcome) {
  if (std::exchange(finished_, true)) return;
  limit_timer_.stop();
  if (stages_) stages_->Stop();
  placement_.reset();
  const double ms = MsSinceArrival();
  context_.metrics->OnRequest(route_ ? route_->name : std::string(), status,
                              outcome, ms / 1000);
  LogEnd(status, outcome, ms);
  deleteLater();
}

}  // namespace turmeric::entry
