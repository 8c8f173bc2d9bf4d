#include "turmeric/entry/piece_call.h"

#include <numeric>
#include <utility>

#include "turmeric/entry/answer_binding.h"
#include "turmeric/entry/answer_statements.h"
#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/upstream_availability.h"
#include "turmeric/entry/upstream_limiter.h"
#include "turmeric/entry/upstream_speeds.h"

namespace turmeric::entry {

using routing::Outcome;
using stages::Clock;
using stages::PieceResult;
using stages::QueuedPiece;

namespace {

constexpr int kOk = 200;
/** A larger response fails the call. It holds a handle for each piece, which
 * has some hundred bytes. */
constexpr size_t kMaxAnswerBytes = 1024 * 1024;
/**
 * Time after which the upstream is assumed to have fetched the inputs: some
 * megabytes over links of 10 Gbit/s, plus the round trip.
 */
constexpr std::chrono::milliseconds kInputFetchTime{50};

}  // namespace

PieceCall::PieceCall(EntryContext& context, PieceCallSpec spec,
                     PieceCallEvents events, QObject* parent)
    : QObject(parent),
      context_(context),
      spec_(std::move(spec)),
      events_(std::move(events)),
      held_(*context.memory_guard, spec_.upstream->entry.id,
            {.pause = [this](bool paused) { exchange_->PauseReading(paused); },
             .give_up = [this] { BreakOff(); }}),
      bytes_(std::transform_reduce(
          spec_.pieces.begin(), spec_.pieces.end(), int64_t{0}, std::plus<>(),
          [](const QueuedPiece& q) { return q.piece.result_bytes; })) {
  for (QTimer* timer :
       {&timeout_timer_, &input_fetch_timer_, &overdue_timer_}) {
    timer->setSingleShot(true);
  }
  connect(&timeout_timer_, &QTimer::timeout, this, [this] {
    exchange_->Cancel();
    Fail(Outcome::kTimeout);
  });
  connect(&input_fetch_timer_, &QTimer::timeout, this,
          [this] { events_.on_inputs_fetched(*this); });
  connect(&overdue_timer_, &QTimer::timeout, this, [this] {
    overdue_ = true;
    events_.on_overdue(*this);
  });
}

PieceCall::~PieceCall() {
  if (counted_) spec_.upstream->load.OnEnd(*counted_);
}

std::chrono::milliseconds PieceCall::elapsed() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               started_);
}

void PieceCall::Start() {
  started_ = Clock::now();
  std::vector<stages::Piece> pieces;
  for (const QueuedPiece& queued : spec_.pieces) {
    pieces.push_back(queued.piece);
  }
  const std::string call_id = NewCallId();
  const std::string request =
      context_.wire.encode_stage_call({.call_id = call_id,
                                       .upstream_id = spec_.upstream->entry.id,
                                       .address = spec_.upstream->entry.address,
                                       .pieces = pieces,
                                       .now = started_});
  context_.limiter->OnSend(*spec_.upstream);
  context_.availability->OnSend(*spec_.upstream, pieces.front().request_id,
                                started_);
  counted_ = spec_.upstream->load.OnSend(started_);
  timeout_timer_.start(spec_.timeout);
  input_fetch_timer_.start(kInputFetchTime);
  overdue_timer_.start(spec_.overdue);
  exchange_ =
      context_.client.Send(spec_.upstream, request, AnswerEvents(),
                           {.binding = BindAnswer(context_.wire, call_id)});
  connection_id_ = exchange_->connection_id();
  exchange_number_ = exchange_->number();
}

http::ExchangeEvents PieceCall::AnswerEvents() {
  http::ExchangeEvents events;
  events.on_head = [this](const http::ResponseHead& head) {
    status_ = head.status;
    const AnswerInfo info = context_.wire.decode_answer(head);
    not_run_ = info.not_run;
    ApplyStatements(context_, spec_.upstream, head.status, info, started_);
    return true;
  };
  events.on_body = [this](std::string_view bytes) { OnBody(bytes); };
  events.on_end = [this] { OnAnswer(); };
  events.on_failure = [this](http::ExchangeFailure failure) {
    const bool not_sent = failure == http::ExchangeFailure::kNotSent;
    Fail(not_sent ? Outcome::kNotSent : Outcome::kBroken);
  };
  return events;
}

void PieceCall::OnBody(std::string_view bytes) {
  body_.append(bytes);
  if (body_.size() > kMaxAnswerBytes) return BreakOff();
  held_.Set(body_.size());
}

void PieceCall::BreakOff() {
  exchange_->Cancel();
  Fail(Outcome::kBroken);
}

void PieceCall::OnAnswer() {
  if (status_ != kOk) {
    return Fail(not_run_ ? Outcome::kRefused : Outcome::kError);
  }
  const std::vector<PieceResult> results =
      context_.wire.decode_stage_answer(body_);
  if (results.size() != spec_.pieces.size()) return Fail(Outcome::kBroken);
  const auto now = Clock::now();
  spec_.upstream->load.OnServed(*counted_,
                                static_cast<double>(spec_.usual.count()), now);
  ReportSpeed(context_, *spec_.upstream, now);
  if (MarkEnded()) events_.on_done(*this, results);
}

void PieceCall::Fail(Outcome outcome) {
  if (MarkEnded()) events_.on_failed(*this, outcome);
}

bool PieceCall::MarkEnded() {
  if (std::exchange(ended_, true)) return false;
  held_.Release();
  if (counted_) spec_.upstream->load.OnEnd(*counted_);
  counted_.reset();
  timeout_timer_.stop();
  input_fetch_timer_.stop();
  overdue_timer_.stop();
  deleteLater();
  return true;
}

}  // namespace turmeric::entry
