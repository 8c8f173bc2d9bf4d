#include "turmeric/entry/request_run.h"

#include <QPointer>
#include <algorithm>
#include <random>
#include <utility>

#include "turmeric/entry/answer_check.h"
#include "turmeric/entry/config_check.h"
#include "turmeric/entry/engine_placement.h"
#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/entry_metrics.h"
#include "turmeric/entry/request_quarantine.h"
#include "turmeric/entry/retry_after.h"
#include "turmeric/entry/retry_credit.h"
#include "turmeric/entry/retry_policy.h"
#include "turmeric/entry/stage_run.h"
#include "turmeric/entry/upstream_choice.h"
#include "turmeric/entry/upstream_criteria.h"
#include "turmeric/entry/upstream_send.h"
#include "turmeric/quarantine/fingerprint.h"
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

/** Outcome of a request that ends the upstreams which run it. */
constexpr std::string_view kQuarantined = "quarantined";

/** An engine has fetched a request's inputs so long after the request was
 * sent; it fetches them before it reads the prompt. */
constexpr milliseconds kInputFetchTime{50};
/** Pause before upstreams that all have as much as they bear are asked for
 * again, and how often: what waits for longer is not in time. */
constexpr milliseconds kColdWait{100};
constexpr int kMostColdWaits = 8;
/** Engines take priorities from 0, first, to this. */
constexpr int kLowestEnginePriority = 9;

/** @return what copies of the request have in common, whoever takes them. */
std::string WorkOf(const CallerRequest& request,
                   std::string_view organisation) {
  return quarantine::Fingerprint(
      {.caller = organisation.empty() ? request.key : organisation,
       .method = request.method,
       .host = request.host,
       .target = request.target,
       .body = request.body});
}

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
      answer_(connection, [this] { OnCallerGone(); }),
      request_(std::move(request)),
      arrived_(Clock::now()) {}

RequestRun::~RequestRun() {
  // An instance that ends with requests open leaves no other trace of them.
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
  const auto now = Clock::now();
  service_ = routing::PickTarget(route_->targets, Uniform());
  context_.retries.OnRequest(service_, now);
  if (!HasUpstreams(context_, service_, *route_, request_.stage_pieces)) {
    return Refuse("no_upstream", ComeBack::kLater);
  }
  StartStages();
}

bool RequestRun::Admitted() {
  table_ = context_.table;
  AdmissionState state{.table = table_.get(),
                       .upstreams_known = context_.upstreams_known,
                       .store_away = context_.store_unreachable,
                       .since_stop = {},
                       .stop_grace = context_.settings.stop_grace};
  if (context_.stopping_since) {
    state.since_stop = std::chrono::duration_cast<milliseconds>(
        arrived_ - *context_.stopping_since);
  }
  admission_ = Admit(request_, state, arrived_);
  if (IsFinal(admission_.refusal)) {
    if (!by_latest_config_) {
      CheckConfig();
      return false;
    }
    if (!*by_latest_config_) {
      admission_.refusal = AdmissionRefusal::kConfigUnsure;
    }
  }
  route_ = admission_.route;
  work_ = WorkOf(request_, admission_.organisation);
  if (admission_.refusal == AdmissionRefusal::kNone) {
    if (RefusedAsHarmful()) return false;
    if (!context_.Uses(Mechanism::kUsualDeadlines)) return true;
    time_used_ =
        context_.usual_deadlines.TimeUsed(route_->name, request_.deadline);
    return true;
  }
  const RefusalAnswer answer = AnswerTo(admission_.refusal);
  if (answer.come_back) {
    Refuse(answer.why, *answer.come_back);
  } else {
    Fail(answer.status, answer.why);
  }
  return false;
}

void RequestRun::CheckConfig() {
  const QPointer<RequestRun> self(this);
  context_.config_check->Confirm([self](bool is_latest) {
    if (!self || self->finished_) return;
    self->by_latest_config_ = is_latest;
    self->Start();
  });
}

bool RequestRun::RefusedAsHarmful() {
  const auto pause = context_.quarantine->QuarantinedFor(work_);
  if (!pause) return false;
  if (may_have_run_) {
    Fail(kBadGateway, kQuarantined);
  } else {
    Refuse(kQuarantined, *pause);
  }
  return true;
}

void RequestRun::StartStages() {
  stages_ = std::make_unique<StageRun>(
      *context_.stages,
      StagePlan{
          .request = request_,
          .route = *route_,
          .work = work_,
          .rank = admission_.rank,
          .due = arrived_ + route_->latency_target - time_used_,
          .deadline = admission_.first_byte_limit,
          .engine_time = context_.engine_times.Expected(service_, PromptTime()),
          .times = context_.stage_times,
          .mechanisms = context_.settings.mechanisms},
      StageRunEvents{
          .on_ready =
              [this] {
                stages_done_ms_ = static_cast<int64_t>(MsSinceArrival());
                SendToUpstream();
              },
          .on_failed = [this](PieceFailure failure) { OnStageFailed(failure); },
          .engine_zone =
              [this] {
                if (!route_->carries_prompt) return context_.settings.zone;
                return AffinityZone(context_, service_, Wanted({}));
              },
          .find_producer =
              [this](const std::string& service, const std::string& handle) {
                return context_.upstreams.FindAt(
                    service, context_.wire.handle_address(handle));
              }});
  if (stages_->done()) return SendToUpstream();
  stages_->Start();
}

void RequestRun::OnStageFailed(PieceFailure failure) {
  if (failure == PieceFailure::kQuarantined && RefusedAsHarmful()) return;
  if (may_have_run_) return Fail(kBadGateway, "stage_failed");
  if (failure != PieceFailure::kLate) {
    return Refuse("stage_failed", ComeBack::kSoon);
  }
  // Late for this process alone: another instance has more time for it.
  if (context_.stop()) return Refuse("stopping", ComeBack::kAtOnce);
  Refuse("stage_failed", ComeBack::kAfterOverload);
}

// One send.

UpstreamCriteria RequestRun::Wanted(std::string_view results_zone) const {
  return {.request = request_,
          .tried = tried_,
          .own_zone = context_.settings.zone,
          .results_zone = results_zone};
}

void RequestRun::SendToUpstream() {
  if (TimeLeft() <= milliseconds(0)) return OnTimeLimit();
  const std::string results_zone = stages_->inputs_zone();
  const UpstreamCriteria wanted = Wanted(results_zone);
  const bool suspect = context_.quarantine->IsSuspect(work_);
  if (suspect || !route_->carries_prompt) {
    return SendTo(ChooseLocally(context_,
                                {.service = service_,
                                 .work = work_,
                                 .has_owner = route_->carries_prompt,
                                 .suspect = suspect},
                                wanted));
  }
  peer::PlacementOrder order = ToPlacementOrder(wanted);
  order.service = service_;
  placement_ = std::make_unique<EnginePlacement>(*context_.placer);
  placement_->Choose(std::move(order),
                     [this](const routing::UpstreamPtr& u) { SendTo(u); });
}

bool RequestRun::WaitsForRoom() {
  if (!MayHaveCapacitySoon(context_, service_, tried_)) return false;
  if (++cold_waits_ > kMostColdWaits) return false;
  utils::DecisionLog("cold_limit_reached")
      .Add("request", request_.attempt_id)
      .Add("service", service_)
      .Add("waits", cold_waits_);
  placement_.reset();
  QTimer::singleShot(kColdWait, this, [this] {
    if (!finished_) SendToUpstream();
  });
  return true;
}

void RequestRun::SendTo(const routing::UpstreamPtr& upstream) {
  if (TimeLeft() <= milliseconds(0)) return OnTimeLimit();
  // Copies of it may have ended upstreams while this one was in its stages.
  if (RefusedAsHarmful()) return;
  if (!upstream) {
    if (WaitsForRoom()) return;
    if (may_have_run_) return Fail(kBadGateway, "no_upstream_left");
    return Refuse("no_upstream", ComeBack::kLater);
  }
  if (!context_.client.HasConnection(*upstream, ConnectionLimit())) {
    if (may_have_run_) return Fail(kBadGateway, "no_connection_left");
    return Refuse("connections_used_up", ComeBack::kSoon);
  }
  ++sends_;
  events_before_send_ = relay_.events();
  tried_.push_back(upstream->entry.id);
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
  ReleaseInputsOnceFetched();
}

int RequestRun::ConnectionLimit() const {
  const routing::ServiceSpec* spec = table_->FindService(service_);
  if (spec == nullptr) return 0;
  // Until the fleet is known, one: any share of it could be too large.
  const int instances = context_.retries.listed_instances();
  return instances == 0 ? 1 : std::max(1, spec->max_connections / instances);
}

UpstreamCall RequestRun::CallTo(const routing::Upstream& upstream) const {
  UpstreamCall call{.request = request_,
                    .time_left = TimeLeft(),
                    .upstream_id = upstream.entry.id,
                    .organisation = admission_.organisation,
                    .last_event_id = relay_.last_event_id()
                                         ? relay_.last_event_id()
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
  // Room for results is what stage upstreams run out of first: they are given
  // up once fetched, not when the answer begins.
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
                OnBroken("answer_too_large");
              }};
}

void RequestRun::OnStreamBytes(std::string_view bytes) {
  const AnswerInfo& info = send_->info();
  if (!info.sealed || info.attempt_id.empty()) return;
  const std::string events = relay_.Feed(bytes);
  if (events.empty() || !answer_.caller_waits()) return;
  if (!answer_.streaming()) PassHead();
  send_->OnPromptRead();
  // Its upstream may be another one by the time that the caller goes on.
  answer_.PassEvents(events,
                     [this](bool paused) { send_->PauseReading(paused); });
}

milliseconds RequestRun::PromptTime() const {
  return milliseconds(static_cast<int64_t>(PromptMs(request_)));
}

void RequestRun::PassHead() {
  first_byte_ms_ = static_cast<int64_t>(MsSinceArrival());
  if (sends_ == 1 && stages_done_ms_ >= 0) {
    context_.engine_times.Note(service_, PromptTime(),
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
      tried_.pop_back();
      if (MaySendAgain(SendEnd::kNotRun) && stages_->Restart("inputs_gone")) {
        return;
      }
    }
    return OnNotRun(SendEnd::kNotRun);
  }
  may_have_run_ = true;
  const std::string_view fault =
      AnswerFault({.status = head.status,
                   .info = send_->info(),
                   .is_event_stream = send_->IsEventStream(),
                   .inside_event = relay_.inside_event()});
  if (!fault.empty()) {
    send_->End(Outcome::kBroken);
    return OnBroken(fault);
  }
  context_.quarantine->OnGoodRun(work_, service_);
  if (send_->IsEventStream()) {
    send_->End(Outcome::kAnswered);
    return PassAnswer();
  }
  const bool upstream_error = head.status >= kServerError;
  send_->End(upstream_error ? Outcome::kError : Outcome::kAnswered);
  if (upstream_error && route_->retryable() &&
      MaySendAgain(SendEnd::kMayHaveRun)) {
    last_error_ =
        http::ResponseMessage{head.status, head.headers, send_->body()};
    return SendAgain();
  }
  PassAnswer();
}

void RequestRun::OnFailure(http::ExchangeFailure failure) {
  if (failure == http::ExchangeFailure::kNotSent) {
    send_->End(Outcome::kNotSent);
    ++unreached_;
    return OnNotRun(SendEnd::kUnreached);
  }
  may_have_run_ = true;
  send_->End(Outcome::kBroken);
  OnBroken(failure == http::ExchangeFailure::kNoAnswer    ? "no_answer"
           : failure == http::ExchangeFailure::kTruncated ? "answer_cut"
                                                          : "malformed_answer");
}

void RequestRun::OnNotRun(SendEnd end) {
  utils::DecisionLog("upstream_did_not_run")
      .Add("request", request_.attempt_id)
      .Add("work", work_)
      .Add("upstream", send_->upstream()->entry.id)
      .Add("status", send_->head().status)
      .Add("sends", sends_)
      .Add("left_ms", TimeLeft().count());
  if (MaySendAgain(end)) return SendAgain();
  if (answer_.streaming()) return Fail(kBadGateway, "stream_not_resumed");
  if (may_have_run_) return Fail(kBadGateway, "not_repeated");
  Refuse("upstreams_full", ComeBack::kSoon);
}

void RequestRun::OnBroken(std::string_view why) {
  utils::DecisionLog("upstream_broke_off")
      .Add("request", request_.attempt_id)
      .Add("work", work_)
      .Add("upstream", send_->upstream()->entry.id)
      .Add("why", why)
      .Add("events", relay_.events())
      .Add("sends", sends_)
      .Add("left_ms", TimeLeft().count());
  const bool progressed = relay_.events() > events_before_send_;
  relay_.OnRunEnded();
  const QPointer<RequestRun> self(this);
  auto go_on = [self, reason = std::string(why)] {
    if (!self || self->finished_) return;
    self->AfterBroken(reason);
  };
  context_.quarantine->OnBrokenOff(send_->upstream(),
                                   {{.work = work_, .progressed = progressed}},
                                   std::move(go_on));
  // Only a repeat depends on what is found out.
  if (!route_->retryable()) Fail(kBadGateway, why);
}

void RequestRun::AfterBroken(std::string_view why) {
  if (route_->retryable() && MaySendAgain(SendEnd::kMayHaveRun)) {
    return SendAgain();
  }
  Fail(kBadGateway, why);
}

bool RequestRun::MaySendAgain(SendEnd end) {
  if (context_.quarantine->QuarantinedFor(work_)) return false;
  if (end == SendEnd::kUnreached && !context_.Uses(Mechanism::kTryNext)) {
    end = SendEnd::kNotRun;
  }
  const Repeat repeat = MayRepeat({.end = end,
                                   .caller_waits = answer_.caller_waits(),
                                   .left = TimeLeft(),
                                   .reached = sends_ - unreached_,
                                   .max_sends = route_->max_attempts,
                                   .tried = tried_.size()});
  return repeat == Repeat::kFree ||
         (repeat == Repeat::kFromBudget &&
          TakeRepeats(context_, service_, request_.attempt_id));
}

void RequestRun::SendAgain() {
  context_.metrics->OnRetry(service_);
  if (!stages_->inputs_released() && !stages_->inputs_lost()) {
    return SendToUpstream();
  }
  if (stages_->Restart("send_again")) return;
  if (may_have_run_) return Fail(kBadGateway, "no_time_for_stages");
  Refuse("no_time_for_stages", ComeBack::kSoon);
}

// The final answer.

void RequestRun::PassAnswer() {
  if (!answer_.caller_waits()) return;
  const http::ResponseHead& head = send_->head();
  if (send_->IsEventStream()) {
    if (!answer_.streaming()) PassHead();
    answer_.EndStream();
  } else {
    answer_.Respond({head.status, head.headers, send_->body()});
  }
  Finish(head.status, "answered");
}

void RequestRun::Refuse(std::string_view why, ComeBack when) {
  Refuse(why, ComeBackAfter(when, Uniform()));
}

void RequestRun::Refuse(std::string_view why, milliseconds come_back) {
  if (!answer_.caller_waits()) return;
  answer_.Respond(context_.wire.encode_own_answer(
      kUnavailable, request_.attempt_id, come_back));
  Finish(kUnavailable, why);
}

void RequestRun::Fail(int status, std::string_view why) {
  if (!answer_.caller_waits()) return;
  if (answer_.streaming()) {
    answer_.BreakOff();
  } else if (last_error_ && status >= kServerError) {
    answer_.Respond(*last_error_);
  } else {
    answer_.Respond(context_.wire.encode_own_answer(status, request_.attempt_id,
                                                    milliseconds(0)));
  }
  Finish(status, why);
}

void RequestRun::OnTimeLimit() {
  // Guard: the margin in which a final answer still travels is no reason to
  // break off a stream whose caller is there to take the rest.
  const auto stream_left = admission_.stream_limit - Clock::now();
  if (answer_.streaming() && send_->open() && stream_left > milliseconds(0)) {
    return limit_timer_.start(std::chrono::ceil<milliseconds>(stream_left));
  }
  if (finished_) return;
  const bool sent = SentOrRun();
  if (send_ && send_->open()) send_->Cancel(Outcome::kTimeout);
  if (sent) return Fail(kGatewayTimeout, "time_limit");
  Refuse("time_limit_before_send", ComeBack::kLater);
}

bool RequestRun::SentOrRun() const {
  return may_have_run_ || (send_ && send_->open());
}

void RequestRun::OnStopBegins(Clock::time_point last_answers) {
  if (stages_) stages_->LimitDeadline(last_answers);
}

// Guard: a process that ends under a request closes its connection with
// nothing on it. The caller can't tell whether it has run, and does not ask
// again; an answer says so, or that another instance should be asked at once.
void RequestRun::EndBeforeExit() {
  if (finished_ || answer_.streaming()) return;
  const bool sent = SentOrRun();
  // Our end is no timeout of the upstream's: noted as one, it would make the
  // other instances avoid upstreams that are well.
  if (send_) send_->Abandon();
  if (sent) return Fail(kGatewayTimeout, "stopped");
  Refuse("stopped_before_send", ComeBack::kAtOnce);
}

void RequestRun::OnCallerGone() {
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
      .Add("phase", Phase())
      .Add("sends", sends_)
      .Add("events", relay_.events())
      .Add("target_ms", route_ ? route_->latency_target.count() : 0)
      .Add("used_ms", time_used_.count())
      .Add("stages_ms", stages_done_ms_)
      .Add("first_ms", first_byte_ms_)
      .Add("work", work_)
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
