#include "turmeric/entry/request_run.h"

#include <QPointer>
#include <algorithm>
#include <utility>

#include "turmeric/entry/config_check.h"
#include "turmeric/entry/engine_placement.h"
#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/entry_metrics.h"
#include "turmeric/entry/memory_guard.h"
#include "turmeric/entry/request_quarantine.h"
#include "turmeric/entry/retry_after.h"
#include "turmeric/entry/send_permits.h"
#include "turmeric/entry/shared_work.h"
#include "turmeric/entry/stage_run.h"
#include "turmeric/entry/stream_origins.h"
#include "turmeric/entry/traits_of.h"
#include "turmeric/entry/upstream_choice.h"
#include "turmeric/entry/upstream_criteria.h"
#include "turmeric/entry/upstream_send.h"
#include "turmeric/memory/reception.h"
#include "turmeric/utils/decision_log.h"
#include "turmeric/utils/random_id.h"

namespace turmeric::entry {

using config::Mechanism;
using stages::PieceFailure;
using std::chrono::milliseconds;

namespace {

constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

/**
 * Outcome of a request that is refused because upstreams crash while running
 * it.
 */
constexpr std::string_view kQuarantined = "quarantined";

/** Delay after which a request that found the memory full may return. Bytes
 * that are given up are free at once; those of callers take a while. */
constexpr milliseconds kMemoryRetryDelay{500};

/** Value of a log field for a request that resumes no stream. */
constexpr int64_t kNoEvent = -1;

size_t HeadBytes(const CallerRequest& request) {
  return request.target.size() + http::HeadBytes(request.headers);
}

bool IsLarge(const CallerRequest& request) {
  return memory::IsLarge(HeadBytes(request) + request.body.size());
}

/** @return the account for a request. */
memory::MemoryAccount& AccountFor(const CallerRequest& request,
                                  EntryContext& context) {
  return IsLarge(request) ? context.request_memory : context.memory;
}

size_t BytesOf(const CallerRequest& request) {
  return HeadBytes(request) + memory::HeldBytes(request.body.size());
}

}  // namespace

RequestRun::RequestRun(EntryContext& context,
                       http::ServerConnection& connection,
                       CallerRequest request, QObject* parent)
    : QObject(parent),
      context_(context),
      answer_(connection, [this] { OnCallerDisconnected(); }),
      request_(std::move(request)),
      request_charge_(AccountFor(request_, context),
                      memory::BufferKind::kCallerRequest, BytesOf(request_)),
      evidence_(context),
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

bool RequestRun::FindsNoRoom() const {
  // A large request that was received in one read has not been decided on.
  const memory::MemoryAccount& account = context_.request_memory;
  return IsLarge(request_) && account.bound() > 0 &&
         account.total() - request_charge_.bytes() >= account.bound();
}

void RequestRun::Start() {
  if (FindsNoRoom()) {
    context_.metrics->OnReceptionRefused("no_room");
    return Refuse("memory_full", kMemoryRetryDelay);
  }
  if (context_.memory_guard->RefusesRequest()) {
    return Refuse("memory_full", kMemoryRetryDelay);
  }
  if (!Admitted()) return;
  limit_timer_.setSingleShot(true);
  limit_timer_.setTimerType(Qt::PreciseTimer);
  connect(&limit_timer_, &QTimer::timeout, this, [this] { OnTimeLimit(); });
  limit_timer_.start(std::max(milliseconds(1), TimeLeft()));
  if (!ResumesStream()) {
    return Begin(routing::PickTarget(route_->targets, utils::RandomFraction()));
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
  if (!RefuseIfOverShare()) StartStages();
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
  if (EndsWithStart(admission_.refusal) && WaitForStart()) return false;
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

bool RequestRun::WaitForStart() {
  if (start_wait_ || context_.stopping_since) return false;
  const milliseconds limit = StartWaitLimit(request_.deadline);
  const QPointer<RequestRun> self(this);
  start_wait_ = context_.start_waiters.Add([self] {
    if (self) self->OnStartWaitEnd();
  });
  if (!start_wait_) return false;
  QTimer::singleShot(limit, this, [this] { OnStartWaitEnd(); });
  return true;
}

void RequestRun::OnStartWaitEnd() {
  const uint64_t ticket = std::exchange(*start_wait_, 0);
  if (ticket == 0) return;
  context_.start_waiters.Remove(ticket);
  if (!finished_) Start();
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
    return Refuse(
        "stage_upstreams_resting",
        RetryAfterDelay(result.available_in, utils::RandomFraction()));
  }
  if (failure != PieceFailure::kLate) {
    return Refuse("stage_failed", RetryAfter::kSoon);
  }
  // The stage is late only because this process is stopping; another instance
  // has more time.
  if (context_.stop()) return Refuse("stopping", RetryAfter::kImmediately);
  Refuse("stage_failed", RetryAfter::kAfterOverload);
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
      .Add("answer", answer_.state())
      .Add("answer_status", send_ ? send_->head().status : 0)
      .Add("connection", send_ ? send_->connection_id() : 0)
      .Add("exchange", send_ ? send_->exchange_number() : 0)
      .Add("caller_connection", answer_.connection_id())
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
  if (shared_work_) shared_work_->End(outcome == "answered");
  const double ms = MsSinceArrival();
  context_.metrics->OnRequest(route_ ? route_->name : std::string(), status,
                              outcome, ms / 1000);
  LogEnd(status, outcome, ms);
  // Many requests may end before the event loop deletes them.
  request_.headers.clear();
  request_.headers.shrink_to_fit();
  request_.body.clear();
  request_.body.shrink_to_fit();
  request_charge_.Set(0);
  deleteLater();
}

}  // namespace turmeric::entry
