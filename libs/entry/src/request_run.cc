#include "turmeric/entry/request_run.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/entry_metrics.h"
#include "turmeric/entry/stage_run.h"
#include "turmeric/routing/choice.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using routing::Outcome;
using routing::RequestKind;
using stages::PieceFailure;
using std::chrono::milliseconds;

namespace {

constexpr int kOk = 200;
constexpr int kFirstRedirect = 300;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/** Tokens of a prompt that an engine reads in a millisecond, for load
 * estimates where it has not been measured. */
constexpr double kPromptTokensPerMs = 38;
/** Least time left for a repeat to be worth sending. */
constexpr milliseconds kLeastForRepeat{50};
/** An engine has fetched a request's inputs so long after the request was
 * sent; it fetches them before it reads the prompt. */
constexpr milliseconds kInputFetchTime{50};
/** Longest answer held in memory, bytes; a larger one is an error. */
constexpr size_t kMaxAnswer = 8 * 1024 * 1024;
/** Unsent bytes of a slow reader at which its upstream is held back, and
 * below which it goes on. */
constexpr size_t kPauseAt = 256 * 1024;
/** When to come back after a refusal: long enough for a queue to move on,
 * spread so that the refused do not all return at once. */
constexpr milliseconds kComeBackAtOnce{10};
constexpr milliseconds kComeBackSoon{150};
constexpr milliseconds kComeBackLater{500};
constexpr double kSpread = 0.25;
/** Waiting that a large stage result in another zone is worth, ms. */
constexpr double kLargeInputZoneMs = 150;
/** Waiting that another zone is worth otherwise, ms: the way there and
 * back. */
constexpr double kOtherZoneMs = 2;

/** Engines take priorities from 0, first, to this. */
constexpr int kLowestEnginePriority = 9;

/** @return true for statuses that promise the request has not run. */
bool SaysNotRun(int status) {
  constexpr std::array<int, 4> kPromises = {408, 421, 429, kUnavailable};
  return std::ranges::count(kPromises, status) > 0;
}

double Uniform() {
  static std::mt19937_64 engine{std::random_device{}()};
  return std::uniform_real_distribution<double>(0, 1)(engine);
}

milliseconds Spread(milliseconds base) {
  const double factor = 1 + kSpread * (2 * Uniform() - 1);
  return milliseconds(
      static_cast<int64_t>(static_cast<double>(base.count()) * factor));
}

}  // namespace

RequestRun::RequestRun(EntryContext& context,
                       http::ServerConnection& connection,
                       CallerRequest request, QObject* parent)
    : QObject(parent),
      context_(context),
      connection_(&connection),
      request_(std::move(request)),
      arrived_(Clock::now()) {
  connection.set_on_gone([this] { OnCallerGone(); });
}

RequestRun::~RequestRun() = default;

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
  connect(&limit_timer_, &QTimer::timeout, this, [this] { OnTimeLimit(); });
  limit_timer_.start(std::max(milliseconds(1), TimeLeft()));
  const auto now = Clock::now();
  service_ = routing::PickTarget(route_->targets, Uniform());
  context_.retries.OnRequest(service_, now);
  StartStages();
}

bool RequestRun::Admitted() {
  table_ = context_.table;
  AdmissionState state{.table = table_.get(),
                       .upstreams_known = context_.upstreams_known,
                       .since_stop = {},
                       .stop_grace = context_.settings.stop_grace};
  if (context_.stopping_since) {
    state.since_stop = std::chrono::duration_cast<milliseconds>(
        arrived_ - *context_.stopping_since);
  }
  admission_ = Admit(request_, state, arrived_);
  route_ = admission_.route;
  switch (admission_.refusal) {
    case AdmissionRefusal::kNone:
      return true;
    case AdmissionRefusal::kNotReady:
      Refuse("not_ready", kComeBackLater);
      return false;
    case AdmissionRefusal::kNoRoute:
      Fail(kNotFound, "no_route");
      return false;
    case AdmissionRefusal::kStopping:
      Refuse("stopping", kComeBackAtOnce);
      return false;
    case AdmissionRefusal::kUnknownKey:
      Fail(kUnauthorized, "unknown_key");
      return false;
  }
  return false;
}

void RequestRun::StartStages() {
  const auto prompt_time = milliseconds(
      static_cast<int64_t>(request_.prompt_tokens / kPromptTokensPerMs));
  stages_ = std::make_unique<StageRun>(
      *context_.stages,
      StagePlan{.request = request_,
                .route = *route_,
                .rank = admission_.rank,
                .due = arrived_ + route_->latency_target,
                .limit = admission_.limit,
                .prompt_time = prompt_time,
                .times = context_.stage_times},
      StageRunEvents{
          .on_ready = [this] { SendToUpstream(); },
          .on_failed = [this](PieceFailure failure) { OnStageFailed(failure); },
          .home_zone = [this] { return HomeZone(); }});
  if (stages_->done()) return SendToUpstream();
  stages_->Start();
}

void RequestRun::OnStageFailed(PieceFailure failure) {
  if (may_have_run_) return Fail(kBadGateway, "stage_failed");
  const bool overloaded = failure == PieceFailure::kLate;
  Refuse("stage_failed", overloaded ? kComeBackLater : kComeBackSoon);
}

// One send.

routing::ChoiceRequest RequestRun::Wanted() const {
  routing::ChoiceRequest wanted;
  wanted.tried = tried_;
  if (!route_->carries_prompt) return wanted;
  wanted.has_prompt = true;
  // Parts in order: shared by many, by a session, the request's own.
  const std::vector<PromptPart>& prompt = request_.prompt;
  if (prompt.empty()) return wanted;
  wanted.shared_part = prompt.front().id;
  wanted.session_part = prompt[prompt.size() > 1 ? prompt.size() - 2 : 0].id;
  wanted.shared_ms = prompt.front().tokens / kPromptTokensPerMs;
  for (size_t i = 1; i + 1 < prompt.size(); ++i) {
    wanted.session_ms += prompt[i].tokens / kPromptTokensPerMs;
  }
  return wanted;
}

routing::UpstreamPtr RequestRun::Choose() {
  routing::ChoiceRequest wanted = Wanted();
  const std::string results_zone = stages_->inputs_zone();
  if (!results_zone.empty()) {
    wanted.zone = results_zone;
    wanted.zone_cost_ms = kLargeInputZoneMs;
  } else if (!route_->carries_prompt) {
    wanted.zone = context_.settings.zone;
    wanted.zone_cost_ms = kOtherZoneMs;
  }
  return ChooseUpstream(context_.upstreams.ForService(service_), wanted,
                        Clock::now());
}

std::string RequestRun::HomeZone() const {
  const auto home = HomeUpstream(context_.upstreams.ForService(service_),
                                 Wanted(), Clock::now());
  return home ? home->entry.zone : context_.settings.zone;
}

void RequestRun::SendToUpstream() {
  if (TimeLeft() <= milliseconds(0)) return OnTimeLimit();
  upstream_ = Choose();
  const routing::ServiceSpec* spec = table_->FindService(service_);
  const int connection_limit =
      spec == nullptr ? 0
                      : std::max(1, spec->max_connections /
                                        context_.retries.live_instances());
  if (!upstream_) {
    if (may_have_run_) return Fail(kBadGateway, "no_upstream_left");
    return Refuse("no_upstream", kComeBackLater);
  }
  if (!context_.client.HasConnection(*upstream_, connection_limit)) {
    if (may_have_run_) return Fail(kBadGateway, "no_connection_left");
    return Refuse("connections_used_up", kComeBackSoon);
  }
  ++sends_;
  tried_.push_back(upstream_->entry.id);
  has_head_ = false;
  body_.clear();
  sent_at_ = Clock::now();
  prompt_ms_ =
      route_->carries_prompt ? request_.prompt_tokens / kPromptTokensPerMs : 0;
  upstream_->pending_prompt_ms += prompt_ms_;
  UpstreamCall call{.request = request_,
                    .time_left = TimeLeft(),
                    .upstream_id = upstream_->entry.id,
                    .organisation = admission_.organisation,
                    .last_event_id = relay_.last_event()
                                         ? relay_.last_event()
                                         : request_.last_event_id,
                    .inputs = stages_->inputs(),
                    .engine_priority = {}};
  if (route_->carries_prompt) {
    call.engine_priority =
        std::clamp(admission_.rank, 0, kLowestEnginePriority);
  }
  exchange_ = context_.client.Send(upstream_, context_.wire.encode_call(call),
                                   AnswerEvents(), {.fresh_connection = false});
  if (stages_->inputs().empty()) return;
  // Room for results is what stage upstreams run out of first: they are given
  // up once fetched, not when the answer begins.
  QTimer::singleShot(kInputFetchTime, this, [this, send = sends_] {
    if (!finished_ && exchange_ && sends_ == send) stages_->ReleaseAll();
  });
}

http::ExchangeEvents RequestRun::AnswerEvents() {
  http::ExchangeEvents events;
  events.on_head = [this](const http::ResponseHead& head) {
    return OnHead(head);
  };
  events.on_body = [this](std::string_view bytes) { OnBody(bytes); };
  events.on_end = [this] { OnEnd(); };
  events.on_failure = [this](http::ExchangeFailure failure) {
    OnFailure(failure);
  };
  return events;
}

void RequestRun::EndSend(Outcome outcome) {
  upstream_->pending_prompt_ms -= std::exchange(prompt_ms_, 0);
  const double ms =
      std::chrono::duration<double, std::milli>(Clock::now() - sent_at_)
          .count();
  NoteOutcome(*upstream_, outcome, ms, Clock::now());
  exchange_.reset();
}

bool RequestRun::OnHead(const http::ResponseHead& head) {
  const AnswerInfo info = context_.wire.decode_answer(head);
  if (!info.attempt_id.empty() && info.attempt_id != request_.attempt_id) {
    // Guard: an upstream may send a second, late answer to an earlier
    // request where ours is due. Passed on, it would be another request's
    // answer; ours follows it.
    utils::DecisionLog("foreign_answer_skipped")
        .Add("request", request_.attempt_id)
        .Add("answer_to", info.attempt_id)
        .Add("upstream", upstream_->entry.id);
    return false;
  }
  head_ = head;
  std::erase_if(head_.headers, [](const http::HeaderField& field) {
    return http::IsHopByHop(field.name);
  });
  info_ = info;
  has_head_ = true;
  return true;
}

void RequestRun::OnBody(std::string_view bytes) {
  if (IsEventStream()) return OnStreamBytes(bytes);
  body_.append(bytes);
  if (body_.size() > kMaxAnswer) {
    exchange_->Cancel();
    may_have_run_ = true;
    EndSend(Outcome::kBroken);
    OnBroken("answer_too_large");
  }
}

bool RequestRun::IsEventStream() const {
  return route_->kind == RequestKind::kStream && head_.status == kOk;
}

void RequestRun::OnStreamBytes(std::string_view bytes) {
  if (!info_.sealed || info_.attempt_id.empty()) return;
  const std::string events = relay_.Feed(bytes);
  if (events.empty() || !connection_) return;
  if (!streaming_) PassHead();
  upstream_->pending_prompt_ms -= std::exchange(prompt_ms_, 0);
  connection_->WriteChunk(events);
  HoldBackIfSlow();
}

void RequestRun::HoldBackIfSlow() {
  if (connection_->unsent() <= kPauseAt || paused_ || !exchange_) return;
  paused_ = true;
  exchange_->PauseReading(true);
  connection_->set_on_drained([this] {
    paused_ = false;
    if (exchange_) exchange_->PauseReading(false);
  });
}

void RequestRun::PassHead() {
  streaming_ = true;
  connection_->StartChunked(head_.status, head_.headers);
}

void RequestRun::OnEnd() {
  if (!has_head_) return OnFailure(http::ExchangeFailure::kMalformed);
  if (info_.not_run) {
    const bool inputs_gone =
        head_.status == kConflict && !stages_->inputs().empty();
    EndSend(inputs_gone ? Outcome::kAnswered : Outcome::kRefused);
    if (inputs_gone) {
      tried_.pop_back();
      if (MaySendAgain(true) && stages_->Restart("inputs_gone")) return;
    }
    return OnNotRun();
  }
  may_have_run_ = true;
  const bool own = info_.sealed && !info_.attempt_id.empty() && !info_.encoded;
  // Guard: an answer that does not prove to be the upstream's own must not
  // look like a success, nor like the promise that nothing ran.
  const bool needs_receipt =
      head_.status < kFirstRedirect || SaysNotRun(head_.status);
  if (needs_receipt && !own) {
    EndSend(Outcome::kBroken);
    return OnBroken("answer_without_receipt");
  }
  if (IsEventStream()) {
    if (relay_.inside_event()) {
      EndSend(Outcome::kBroken);
      return OnBroken("stream_cut_in_event");
    }
    EndSend(Outcome::kAnswered);
    return PassAnswer();
  }
  const bool upstream_error = head_.status >= kServerError;
  EndSend(upstream_error ? Outcome::kError : Outcome::kAnswered);
  if (upstream_error && route_->repeatable() && MaySendAgain(false)) {
    last_error_ = http::ResponseMessage{head_.status, head_.headers, body_};
    return SendAgain();
  }
  PassAnswer();
}

void RequestRun::OnFailure(http::ExchangeFailure failure) {
  if (failure == http::ExchangeFailure::kNotSent) {
    EndSend(Outcome::kNotSent);
    return OnNotRun();
  }
  may_have_run_ = true;
  EndSend(Outcome::kBroken);
  OnBroken(failure == http::ExchangeFailure::kNoAnswer    ? "no_answer"
           : failure == http::ExchangeFailure::kTruncated ? "answer_cut"
                                                          : "malformed_answer");
}

void RequestRun::OnNotRun() {
  utils::DecisionLog("upstream_did_not_run")
      .Add("request", request_.attempt_id)
      .Add("upstream", upstream_->entry.id)
      .Add("status", has_head_ ? head_.status : 0)
      .Add("sends", sends_)
      .Add("left_ms", TimeLeft().count());
  if (MaySendAgain(true)) return SendAgain();
  if (streaming_) return Fail(kBadGateway, "stream_not_resumed");
  if (may_have_run_) return Fail(kBadGateway, "not_repeated");
  Refuse("upstreams_full", kComeBackSoon);
}

void RequestRun::OnBroken(std::string_view why) {
  utils::DecisionLog("upstream_broke_off")
      .Add("request", request_.attempt_id)
      .Add("upstream", upstream_->entry.id)
      .Add("why", why)
      .Add("events", relay_.events())
      .Add("sends", sends_)
      .Add("left_ms", TimeLeft().count());
  relay_.RunEnded();
  if (route_->repeatable() && MaySendAgain(false)) return SendAgain();
  Fail(kBadGateway, why);
}

bool RequestRun::MaySendAgain(bool certainly_not_run) {
  if (!connection_ || TimeLeft() < kLeastForRepeat) return false;
  // A refused send is bounded by the service's upstreams, a repeat of what
  // may have run by the route.
  if (!certainly_not_run && sends_ >= route_->max_attempts) return false;
  return context_.retries.TrySpend(service_, Clock::now());
}

void RequestRun::SendAgain() {
  context_.metrics->OnRepeat(service_);
  if (!stages_->inputs_released()) return SendToUpstream();
  if (stages_->Restart("send_again")) return;
  if (may_have_run_) return Fail(kBadGateway, "no_time_for_stages");
  Refuse("no_time_for_stages", kComeBackSoon);
}

// The final answer.

void RequestRun::PassAnswer() {
  if (!connection_) return;
  if (IsEventStream()) {
    if (!streaming_) PassHead();
    connection_->EndChunked();
  } else {
    connection_->Respond({head_.status, head_.headers, std::move(body_)});
  }
  Finish(head_.status, "answered");
}

void RequestRun::Refuse(std::string_view why, milliseconds come_back) {
  if (!connection_) return;
  connection_->Respond(context_.wire.encode_own_answer(
      kUnavailable, request_.attempt_id, Spread(come_back)));
  Finish(kUnavailable, why);
}

void RequestRun::Fail(int status, std::string_view why) {
  if (!connection_) return;
  if (streaming_) {
    connection_->Abort();
  } else if (last_error_ && status >= kServerError) {
    connection_->Respond(*last_error_);
  } else {
    connection_->Respond(context_.wire.encode_own_answer(
        status, request_.attempt_id, milliseconds(0)));
  }
  Finish(status, why);
}

void RequestRun::OnTimeLimit() {
  if (finished_) return;
  const bool sent = exchange_ != nullptr || may_have_run_;
  if (exchange_) {
    exchange_->Cancel();
    EndSend(Outcome::kTimeout);
  }
  if (sent) return Fail(kGatewayTimeout, "time_limit");
  Refuse("time_limit_before_send", kComeBackLater);
}

void RequestRun::OnCallerGone() {
  if (finished_) return;
  if (exchange_) {
    exchange_->Cancel();
    upstream_->pending_prompt_ms -= std::exchange(prompt_ms_, 0);
    exchange_.reset();
  }
  Finish(0, "caller_gone");
}

void RequestRun::Finish(int status, std::string_view outcome) {
  if (std::exchange(finished_, true)) return;
  limit_timer_.stop();
  if (stages_) stages_->Stop();
  const double ms = MsSinceArrival();
  context_.metrics->OnRequest(route_ ? route_->name : std::string(), status,
                              outcome, ms / 1000);
  utils::DecisionLog("request_end")
      .Add("request", request_.attempt_id)
      .Add("route", route_ ? route_->name : "-")
      .Add("config", table_ ? table_->version : 0)
      .Add("status", status)
      .Add("outcome", outcome)
      .Add("upstream", upstream_ ? upstream_->entry.id : "-")
      .Add("sends", sends_)
      .Add("events", relay_.events())
      .Add("ms", static_cast<int64_t>(ms));
  deleteLater();
}

}  // namespace turmeric::entry
