#include "turmeric/entry/upstream_send.h"

#include <charconv>
#include <chrono>
#include <utility>

#include "turmeric/entry/answer_binding.h"
#include "turmeric/entry/answer_statements.h"
#include "turmeric/entry/engine_placement.h"
#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/upstream_availability.h"
#include "turmeric/entry/upstream_limiter.h"
#include "turmeric/entry/upstream_speeds.h"

namespace turmeric::entry {

using routing::Clock;
using routing::Outcome;

namespace {

constexpr int kOk = 200;
constexpr int kFirstRedirect = 300;
constexpr int kServerError = 500;
/** A larger response that is not a stream fails the send. */
constexpr size_t kMaxAnswerBytes = 8 * 1024 * 1024;
/** As above, for responses that cannot reach the caller as a success: failing
 * ones, and those without a receipt. */
constexpr size_t kMaxFailingAnswerBytes = 1024 * 1024;
/** A larger successful response is forwarded before its end. Smaller ones are
 * held back, so that the request can be retried if they break off. */
constexpr size_t kMaxHeldBackBytes = 256 * 1024;

}  // namespace

UpstreamSend::UpstreamSend(EntryContext& context, UpstreamSendSpec spec,
                           UpstreamSendEvents events)
    : context_(context),
      spec_(std::move(spec)),
      events_(std::move(events)),
      held_(*context.memory_guard, spec_.upstream->entry.id,
            {.pause = [this](bool paused) { PauseReading(paused); },
             .give_up = [this] { GiveUp(); }}) {
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
                                   {.binding = Binding()});
  connection_id_ = exchange_->connection_id();
  exchange_number_ = exchange_->number();
}

http::ResponseBinding UpstreamSend::Binding() {
  http::ResponseBinding binding = BindAnswer(context_.wire, spec_.attempt_id);
  binding.id_of =
      [this, id_of = std::move(binding.id_of)](const http::ResponseHead& head) {
        std::string id = id_of(head);
        // What an upstream states of itself holds whichever request it answers.
        if (id.empty() && exchange_number_ > 1) {
          ApplyStatements(context_, spec_.upstream, head.status,
                          context_.wire.decode_answer(head), sent_at_);
        }
        return id;
      };
  return binding;
}

http::ExchangeEvents UpstreamSend::AnswerEvents() {
  // The callbacks are copied before they run: they may destroy this object.
  return {.on_head =
              [this](const http::ResponseHead& head) {
                OnHead(head);
                return true;
              },
          .on_body = [this](std::string_view bytes) { OnBody(bytes); },
          .on_end =
              [this] {
                held_.Keep();
                const auto on_end = events_.on_end;
                on_end();
              },
          .on_failure =
              [this](http::ExchangeFailure failure) {
                held_.Keep();
                const auto on_failure = events_.on_failure;
                on_failure(failure);
              }};
}

void UpstreamSend::OnHead(const http::ResponseHead& head) {
  const AnswerInfo info = context_.wire.decode_answer(head);
  ends_with_connection_ = http::EndsWithConnection(head);
  stated_length_ = http::HeaderValue(head.headers, "Content-Length");
  head_ = head;
  std::erase_if(head_.headers, [](const http::HeaderField& field) {
    return http::IsHopByHop(field.name);
  });
  info_ = info;
  ApplyStatements(context_, spec_.upstream, head.status, info, sent_at_);
  has_head_ = true;
  LearnSpeed(head);
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
  const auto on_forwarded_bytes = events_.on_forwarded_bytes;
  if (forwarded_) return on_forwarded_bytes(bytes);
  body_.append(bytes);
  if (body_.size() > kMaxHeldBackBytes && MayForward()) {
    forwarded_ = true;
    held_.Release();
    const std::string begin = std::exchange(body_, {});
    return on_forwarded_bytes(begin);
  }
  if (body_.size() > MaxHeldBytes()) {
    Cancel(Outcome::kBroken);
    const auto on_too_large = events_.on_too_large;
    return on_too_large();
  }
  // May give up this response and destroy this object.
  held_.Set(body_.size());
}

bool UpstreamSend::MayForward() const {
  return spec_.may_forward && head_.status >= kOk &&
         head_.status < kFirstRedirect && info_.has_receipt &&
         !info_.attempt_id.empty() && !info_.encoded && !info_.not_run;
}

size_t UpstreamSend::MaxHeldBytes() const {
  const bool success = head_.status < kFirstRedirect;
  return success || head_.status >= kServerError ? kMaxFailingAnswerBytes
                                                 : kMaxAnswerBytes;
}

std::optional<uint64_t> UpstreamSend::stated_length() const {
  uint64_t length = 0;
  const char* const end = stated_length_.data() + stated_length_.size();
  const auto parsed = std::from_chars(stated_length_.data(), end, length);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return length;
}

void UpstreamSend::GiveUp() {
  Cancel(Outcome::kBroken);
  const auto on_given_up = events_.on_given_up;
  on_given_up();
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
  held_.Release();
  body_.clear();
  body_.shrink_to_fit();
  End(outcome);
}

void UpstreamSend::Abandon() {
  if (exchange_) exchange_->Cancel();
  held_.Release();
  body_.clear();
  body_.shrink_to_fit();
  OnPromptRead();
  EndLoad();
  spec_.placement.reset();
  exchange_.reset();
}

void UpstreamSend::PauseReading(bool paused) {
  if (exchange_) exchange_->PauseReading(paused);
}

}  // namespace turmeric::entry
