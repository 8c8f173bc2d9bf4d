#include "turmeric/entry/release_call.h"

#include <chrono>
#include <utility>

#include "turmeric/entry/answer_binding.h"
#include "turmeric/entry/answer_statements.h"
#include "turmeric/entry/entry_context.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

namespace {

/** An upstream answers a release within some milliseconds. */
constexpr std::chrono::milliseconds kTimeout{2000};
/** The answer has no content; a larger one is broken off. */
constexpr size_t kMaxAnswerBytes = 64 * 1024;

}  // namespace

ReleaseCall::ReleaseCall(EntryContext& context, routing::UpstreamPtr holder,
                         std::function<void()> on_end, QObject* parent)
    : QObject(parent),
      context_(context),
      holder_(std::move(holder)),
      on_end_(std::move(on_end)) {
  timeout_timer_.setSingleShot(true);
  connect(&timeout_timer_, &QTimer::timeout, this, [this] {
    exchange_->Cancel();
    Fail("timeout");
  });
}

void ReleaseCall::Start(const std::string& address,
                        const std::vector<std::string>& handles) {
  sent_at_ = routing::Clock::now();
  const std::string call_id = NewCallId();
  timeout_timer_.start(kTimeout);
  exchange_ = context_.client.Send(
      holder_, context_.wire.encode_release(call_id, address, handles),
      AnswerEvents(), {.binding = BindAnswer(context_.wire, call_id)});
}

http::ExchangeEvents ReleaseCall::AnswerEvents() {
  http::ExchangeEvents events;
  events.on_head = [this](const http::ResponseHead& head) {
    ApplyStatements(context_, holder_, head.status,
                    context_.wire.decode_answer(head), sent_at_);
    return true;
  };
  events.on_body = [this](std::string_view bytes) { OnBody(bytes); };
  events.on_end = [this] { End(); };
  events.on_failure = [this](http::ExchangeFailure) { Fail("broken"); };
  return events;
}

void ReleaseCall::OnBody(std::string_view bytes) {
  answer_bytes_ += bytes.size();
  if (answer_bytes_ <= kMaxAnswerBytes) return;
  // Destroys the callback that called this function, but not this object.
  exchange_->Cancel();
  Fail("answer_too_large");
}

void ReleaseCall::Fail(std::string_view why) {
  // The upstream drops the results by itself when their retention time ends.
  utils::DecisionLog("release_failed")
      .Add("address", holder_->entry.address)
      .Add("why", why);
  End();
}

void ReleaseCall::End() {
  timeout_timer_.stop();
  deleteLater();
  if (const auto on_end = std::exchange(on_end_, nullptr)) on_end();
}

}  // namespace turmeric::entry
