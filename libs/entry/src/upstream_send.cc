#include "turmeric/entry/upstream_send.h"

#include <chrono>
#include <utility>

#include "turmeric/entry/answer_statements.h"
#include "turmeric/entry/engine_placement.h"
#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/upstream_availability.h"
#include "turmeric/entry/upstream_limiter.h"
#include "turmeric/entry/upstream_speeds.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using routing::Clock;
using routing::Outcome;

namespace {

constexpr int kOk = 200;
/** A larger response that is not a stream fails the send. */
constexpr size_t kMaxAnswerBytes = 8 * 1024 * 1024;

}  // namespace

UpstreamSend::UpstreamSend(EntryContext& context, UpstreamSendSpec spec,
                           UpstreamSendEvents events)
    : context_(context), spec_(std::move(spec)), events_(std::move(events)) {
  spec_.upstream->pending_prompt_ms += spec_.prompt_ms;
}

UpstreamSend::~UpstreamSend() {
  spec_.upstream->pending_prompt_ms -= spec_.prompt_ms;
  EndLoad();
}

void UpstreamSend::Start(std::string_view bytes) {
  sent_at_ = Clock::now();
  counted_ = spec_.upstream->load.OnSend(sent_at_);
  context_.limiter->OnSend(*spec_.upstream);
  context_.availability->OnSend(*spec_.upstream, spec_.attempt_id, sent_at_);
  exchange_ = context_.client.Send(spec_.upstream, bytes, AnswerEvents(),
                                   {.fresh_connection = false});
}

http::ExchangeEvents UpstreamSend::AnswerEvents() {
  // The callbacks are copied before they run: they may destroy this object.
  return {.on_head = [this](const http::ResponseHead& h) { return OnHead(h); },
          .on_body = [this](std::string_view bytes) { OnBody(bytes); },
          .on_end =
              [this] {
                const auto on_end = events_.on_end;
                on_end();
              },
          .on_failure =
              [this](http::ExchangeFailure failure) {
                const auto on_failure = events_.on_failure;
                on_failure(failure);
              }};
}

bool UpstreamSend::OnHead(const http::ResponseHead& head) {
  const AnswerInfo info = context_.wire.decode_answer(head);
  if (!info.attempt_id.empty() && info.attempt_id != spec_.attempt_id) {
    // Guard: an upstream may send a late response to an earlier request on the
    // same connection. Forwarding it would give the caller the response to
    // another request. The response to this request follows it.
    utils::DecisionLog("foreign_answer_skipped")
        .Add("request", spec_.attempt_id)
        .Add("answer_to", info.attempt_id)
        .Add("upstream", spec_.upstream->entry.id);
    return false;
  }
  ends_with_connection_ = http::EndsWithConnection(head);
  head_ = head;
  std::erase_if(head_.headers, [](const http::HeaderField& field) {
    return http::IsHopByHop(field.name);
  });
  info_ = info;
  ApplyStatements(context_, spec_.upstream, head.status, info, sent_at_);
  has_head_ = true;
  LearnSpeed(head);
  return true;
}

void UpstreamSend::LearnSpeed(const http::ResponseHead& head) {
  // A request with a prompt has no size by which its time could be compared.
  const bool comparable = head.status == kOk && spec_.prompt_ms == 0;
  if (!counted_ || !comparable) return;
  const auto now = Clock::now();
  spec_.upstream->load.OnServed(*counted_, 1.0, now);
  ReportSpeed(context_, *spec_.upstream, now);
}

void UpstreamSend::EndLoad() {
  if (counted_) spec_.upstream->load.OnEnd(*counted_);
  counted_.reset();
}

bool UpstreamSend::IsEventStream() const {
  return spec_.may_be_stream && head_.status == kOk;
}

void UpstreamSend::OnBody(std::string_view bytes) {
  if (IsEventStream()) {
    const auto on_stream_bytes = events_.on_stream_bytes;
    return on_stream_bytes(bytes);
  }
  body_.append(bytes);
  if (body_.size() <= kMaxAnswerBytes) return;
  Cancel(Outcome::kBroken);
  const auto on_too_large = events_.on_too_large;
  on_too_large();
}

void UpstreamSend::OnPromptRead() {
  spec_.upstream->pending_prompt_ms -= std::exchange(spec_.prompt_ms, 0);
  if (spec_.placement) spec_.placement->OnPromptRead();
}

void UpstreamSend::End(Outcome outcome) {
  OnPromptRead();
  EndLoad();
  const double ms =
      std::chrono::duration<double, std::milli>(Clock::now() - sent_at_)
          .count();
  context_.RecordOutcome(*spec_.upstream, outcome, ms);
  if (spec_.placement) spec_.placement->set_outcome(outcome);
  spec_.placement.reset();
  exchange_.reset();
}

void UpstreamSend::Cancel(Outcome outcome) {
  if (exchange_) exchange_->Cancel();
  End(outcome);
}

void UpstreamSend::Abandon() {
  if (exchange_) exchange_->Cancel();
  OnPromptRead();
  EndLoad();
  spec_.placement.reset();
  exchange_.reset();
}

void UpstreamSend::PauseReading(bool paused) {
  if (exchange_) exchange_->PauseReading(paused);
}

}  // namespace turmeric::entry
