#include <QPointer>
#include <QTimer>
#include <algorithm>
#include <iterator>
#include <utility>

#include "turmeric/entry/brittle_upstreams.h"
#include "turmeric/entry/engine_placement.h"
#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/request_quarantine.h"
#include "turmeric/entry/request_run.h"
#include "turmeric/entry/retry_after.h"
#include "turmeric/entry/send_permits.h"
#include "turmeric/entry/stage_run.h"
#include "turmeric/entry/traits_of.h"
#include "turmeric/entry/upstream_choice.h"
#include "turmeric/entry/upstream_connections.h"
#include "turmeric/entry/upstream_criteria.h"
#include "turmeric/entry/upstream_limiter.h"
#include "turmeric/entry/upstream_send.h"
#include "turmeric/utils/decision_log.h"
#include "turmeric/utils/random_id.h"

namespace turmeric::entry {

using config::Mechanism;
using routing::RequestKind;
using std::chrono::milliseconds;

namespace {

constexpr int kBadGateway = 502;

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

}  // namespace

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
  if (UsesEngineRoom(context_, service_)) {
    order.output_tokens = static_cast<int>(context_.output_estimate.Tokens(
        route_->name,
        {.hinted = request_.output_hint, .maximum = request_.output_tokens}));
  }
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
  Refuse("upstreams_resting", RetryAfterDelay(rest, utils::RandomFraction()));
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
      utils::RandomFraction() * static_cast<double>(upstreams.size()))];
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
  Refuse("rate_limited", context_.limiter->RefusalDelay(
                             service_, utils::RandomFraction(), Clock::now()));
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
          .may_be_stream = route_->kind == RequestKind::kStream,
          .may_forward = !answer_.streaming()},
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
  return {
      .on_stream_bytes = [this](std::string_view b) { OnStreamBytes(b); },
      .on_forwarded_bytes = [this](std::string_view b) { OnForwardedBytes(b); },
      .on_end = [this] { OnEnd(); },
      .on_failure = [this](http::ExchangeFailure f) { OnFailure(f); },
      .on_too_large =
          [this] {
            may_have_run_ = true;
            OnExchangeBroken("answer_too_large");
          },
      .on_given_up =
          [this] {
            may_have_run_ = true;
            OnExchangeBroken("answer_given_up");
          }};
}

}  // namespace turmeric::entry
