#include "turmeric/entry/stage_run.h"

#include <QPointer>
#include <algorithm>
#include <utility>

#include "turmeric/entry/stage_client.h"
#include "turmeric/entry/wire_format.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using config::Mechanism;
using stages::Clock;
using stages::PieceFailure;
using stages::PieceResult;
using std::chrono::milliseconds;

namespace {

/** Restarts of all stages of one request after the loss of a result. */
constexpr int kMaxRestarts = 2;
/**
 * Minimum remaining time for a restart: one call of each stage and reading the
 * prompt.
 */
constexpr milliseconds kMinTimeForRestart{800};
/**
 * Approximate size of one result from which a stage runs in the zone of the
 * engine that is expected to read its results, unless the zone that holds its
 * large inputs determines where it runs.
 */
constexpr int64_t kMinEngineZoneBytes = 500 * 1000;

}  // namespace

StageRun::StageRun(StageClient& client, StagePlan plan, StageRunEvents events)
    : client_(client),
      plan_(std::move(plan)),
      events_(std::move(events)),
      progress_(plan_.route.stages, plan_.request.stage_pieces,
                plan_.mechanisms.Uses(Mechanism::kLargeLast)) {}

StageRun::~StageRun() = default;

void StageRun::Start() { SubmitReady(); }

void StageRun::SubmitReady() {
  for (const int stage : progress_.TakeReady()) {
    if (AnyLost(progress_.Inputs(stage))) return OnProducerRestarted();
    SubmitStage(stage);
  }
}

// Guard: an upstream process that restarts under the same id has lost its
// results and numbers its handles from the beginning. A handle of the previous
// process may now name a result of another request, which would be used as an
// input of this one.
bool StageRun::AnyLost(std::span<const std::string> handles) const {
  return std::ranges::any_of(handles, [this](const std::string& handle) {
    const auto it = producers_.find(handle);
    return it != producers_.end() && it->second && it->second->restarted;
  });
}

std::string StageRun::ZoneFor(int stage) const {
  const std::string inputs_zone = progress_.InputsZone(stage);
  if (!inputs_zone.empty()) return inputs_zone;
  const routing::StageSpec& spec =
      plan_.route.stages[static_cast<size_t>(stage)];
  return spec.result_bytes < kMinEngineZoneBytes ? std::string()
                                                 : events_.engine_zone();
}

void StageRun::SubmitStage(int stage) {
  const routing::StageSpec& spec =
      plan_.route.stages[static_cast<size_t>(stage)];
  const auto rest = progress_.TimeAfter(stage, plan_.times) + plan_.engine_time;
  stages::Piece piece;
  piece.request_id = plan_.request.attempt_id;
  piece.stage = stage;
  piece.inputs = progress_.Inputs(stage);
  if (piece.inputs.empty()) piece.key = plan_.request.piece_key;
  piece.result_bytes = spec.result_bytes;
  piece.rank = plan_.rank;
  piece.due = plan_.due - rest;
  piece.deadline = plan_.deadline - rest;
  piece.zone = ZoneFor(stage);
  piece.next_services = progress_.ServicesAfter(stage);
  piece.fingerprint = plan_.fingerprint;
  piece.retried = restarted_stages_.contains(stage);
  const auto now = Clock::now();
  submissions_[stage] = {now,
                         now + plan_.times.Expected(spec.service) < piece.due};
  for (int index = 0; index < progress_.pieces(stage); ++index) {
    piece.index = index;
    const uint64_t ticket =
        client_.Submit(spec.service, piece, EventsFor(stage, index));
    open_pieces_.push_back({spec.service, ticket});
  }
}

stages::PieceEvents StageRun::EventsFor(int stage, int index) {
  const QPointer<StageRun> self(this);
  const uint64_t round = round_;
  const auto is_current = [self, round] {
    return self && !self->stopped_ && self->round_ == round;
  };
  const std::string& service =
      plan_.route.stages[static_cast<size_t>(stage)].service;
  return {.on_inputs_fetched =
              [self, is_current, stage] {
                if (!is_current()) return;
                self->progress_.InputsFetched(stage);
                self->Release(self->progress_.TakeUnneeded());
              },
          .on_done =
              [self, is_current, &client = client_, service, stage,
               index](const PieceResult& result) {
                if (is_current()) return self->OnPiece(stage, index, result);
                // The request has ended or its stages were restarted in the
                // meantime; the result only occupies memory.
                if (result.failure == PieceFailure::kNone) {
                  client.Release(service, {result.handle});
                }
              }};
}

void StageRun::RecordStageTime(int stage) {
  const auto it = submissions_.find(stage);
  if (it == submissions_.end() || !progress_.IsComplete(stage)) return;
  const std::string& service =
      plan_.route.stages[static_cast<size_t>(stage)].service;
  const Submission& submission = it->second;
  if (!plan_.mechanisms.Uses(Mechanism::kStageTimes)) return;
  plan_.times.Note(
      service,
      std::chrono::duration_cast<milliseconds>(Clock::now() - submission.at),
      submission.could_meet_target);
  submissions_.erase(it);
}

void StageRun::OnPiece(int stage, int index, const PieceResult& result) {
  if (result.failure != PieceFailure::kNone) {
    utils::DecisionLog("piece_failed")
        .Add("request", plan_.request.attempt_id)
        .Add("stage", stage)
        .Add("piece", index)
        .Add("failure", static_cast<int>(result.failure));
    if (result.failure == PieceFailure::kInputLost && Restart("gone")) return;
    return events_.on_failed(result);
  }
  progress_.Complete(stage, index, result);
  producers_[result.handle] = events_.find_producer(
      plan_.route.stages[static_cast<size_t>(stage)].service, result.handle);
  RecordStageTime(stage);
  Release(progress_.TakeUnneeded());
  if (!progress_.done()) return SubmitReady();
  open_pieces_.clear();
  inputs_ = progress_.FinalInputs();
  if (inputs_lost()) return OnProducerRestarted();
  events_.on_ready();
}

void StageRun::OnProducerRestarted() {
  if (Restart("maker_restarted")) return;
  events_.on_failed({.failure = PieceFailure::kInputLost});
}

bool StageRun::Restart(std::string_view why) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(plan_.deadline - Clock::now());
  if (!plan_.mechanisms.Uses(Mechanism::kStagesAgain)) return false;
  if (restarts_ >= kMaxRestarts || left < kMinTimeForRestart) return false;
  if (!TakeRetryCredit()) return false;
  ++restarts_;
  utils::DecisionLog("stages_again")
      .Add("request", plan_.request.attempt_id)
      .Add("why", why)
      .Add("left_ms", left.count());
  CancelPieces();
  ReleaseAll();
  ++round_;
  submissions_.clear();
  producers_.clear();
  inputs_.clear();
  inputs_released_ = false;
  progress_.Restart();
  SubmitReady();
  return true;
}

bool StageRun::TakeRetryCredit() {
  std::map<std::string, int> pieces;
  for (int stage = 0; stage < static_cast<int>(plan_.route.stages.size());
       ++stage) {
    if (!progress_.started(stage)) continue;
    restarted_stages_.insert(stage);
    pieces[plan_.route.stages[static_cast<size_t>(stage)].service] +=
        progress_.pieces(stage);
  }
  return std::ranges::all_of(pieces, [this](const auto& service) {
    return client_.TakeRetryCredit(service.first, plan_.request.attempt_id,
                                   service.second);
  });
}

void StageRun::Stop() {
  stopped_ = true;
  CancelPieces();
  ReleaseAll();
}

void StageRun::CancelPieces() {
  for (const OpenPiece& open : std::exchange(open_pieces_, {})) {
    client_.Cancel(open.service, open.ticket);
  }
}

void StageRun::ReleaseAll() {
  inputs_released_ = !inputs_.empty();
  Release(progress_.TakeAll());
}

void StageRun::Release(std::vector<stages::ServiceResults> results) {
  for (auto& [service, handles] : results) {
    std::erase_if(handles, [this](const std::string& handle) {
      return AnyLost({&handle, 1});
    });
    if (handles.empty()) continue;
    client_.Release(service, std::move(handles));
  }
}

}  // namespace turmeric::entry
