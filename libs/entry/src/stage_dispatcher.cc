#include "turmeric/entry/stage_dispatcher.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/piece_call.h"
#include "turmeric/entry/request_quarantine.h"
#include "turmeric/entry/retry_credit.h"
#include "turmeric/entry/upstream_limiter.h"
#include "turmeric/stages/call_plan.h"
#include "turmeric/stages/call_speeds.h"
#include "turmeric/stages/result_memory.h"
#include "turmeric/stages/shard.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using config::Mechanism;
using routing::Clock;
using routing::Outcome;
using routing::StageCallLimits;
using routing::UpstreamPtr;
using stages::CallTime;
using stages::PieceFailure;
using stages::PieceResult;
using stages::QueuedPiece;

namespace {

/**
 * A piece fails after this many calls, unless its last call was certainly not
 * sent.
 */
constexpr int kMaxSends = 3;
/**
 * Interval of the check for late pieces that no call is expected to take before
 * their deadlines: a fraction of the duration of a call.
 */
constexpr std::chrono::milliseconds kLateCheckInterval{50};
/**
 * Delay until a queue is dispatched again while its pieces cannot be sent, for
 * example because all its upstreams are avoided.
 */
constexpr std::chrono::milliseconds kRetryDelay{50};
/** Weight of the last call in an upstream's slowness: high, as an upstream that
 * turns slow stays so for seconds. */
constexpr double kSlownessWeight = 0.5;

}  // namespace

/** Calls in progress and results held of one upstream. */
struct StageDispatcher::Worker {
  int calls = 0;    ///< Without those that are overdue.
  int overdue = 0;  ///< Overdue calls.
  /** Moving average of the durations of calls, as multiples of CallTime. */
  double slowness = 1;

  void OnCallEnd(bool was_overdue) { --(was_overdue ? overdue : calls); }
  stages::ResultMemory memory;
};

struct StageDispatcher::Queue {
  explicit Queue(stages::QueueRules rules) : pieces(rules) {}

  std::string name;  ///< Name of the shard.
  stages::Shard shard;
  stages::PieceQueue pieces;
  /**
   * One entry for each process start of an upstream: a restarted process holds
   * no results and has no call in progress.
   */
  std::map<UpstreamPtr, Worker> workers;
  Clock::time_point late_checked_at;
};

StageDispatcher::StageDispatcher(EntryContext& context)
    : context_(context),
      releaser_(context, [this](const std::string& shard,
                                const std::vector<std::string>& handles) {
        OnReleased(shard, handles);
      }) {
  dispatch_timer_.setSingleShot(true);
  retry_timer_.setSingleShot(true);
  connect(&dispatch_timer_, &QTimer::timeout, this, [this] { DispatchAll(); });
  connect(&retry_timer_, &QTimer::timeout, this, [this] { DispatchAll(); });
}

StageDispatcher::~StageDispatcher() = default;

StageDispatcher::Queue& StageDispatcher::QueueOf(const std::string& shard) {
  auto& queue = queues_[shard];
  if (!queue) {
    queue = std::make_unique<Queue>(
        stages::QueueRules{.late_last = context_.Uses(Mechanism::kLateLast),
                           .by_zone = context_.Uses(Mechanism::kZoneInQueue),
                           .crashes = [this](const std::string& work) {
                             return context_.quarantine->crash_count(work);
                           }});
    queue->name = shard;
    queue->shard = stages::ParseShard(shard);
  }
  return *queue;
}

const StageCallLimits* StageDispatcher::LimitsOf(const Queue& queue) const {
  if (!context_.table) return nullptr;
  const routing::ServiceSpec* spec =
      context_.table->FindService(queue.shard.service);
  return spec != nullptr && spec->stage ? &*spec->stage : nullptr;
}

std::vector<UpstreamPtr> StageDispatcher::UpstreamsOf(
    const Queue& queue) const {
  return stages::UpstreamsOfShard(
      queue.shard, context_.upstreams.ForService(queue.shard.service));
}

StageDispatcher::Worker& StageDispatcher::WorkerOf(
    Queue& queue, const UpstreamPtr& upstream) {
  return queue.workers[upstream];
}

std::map<std::string, double> StageDispatcher::Backlogs() const {
  std::map<std::string, double> backlogs;
  for (const auto& [name, queue] : queues_) {
    const StageCallLimits* limits = LimitsOf(*queue);
    const size_t upstreams = UpstreamsOf(*queue).size();
    if (limits == nullptr || upstreams == 0) continue;
    backlogs[name] =
        stages::CallsWaiting(*limits, queue->pieces.size(), upstreams);
  }
  return backlogs;
}

std::map<std::string, double> StageDispatcher::KnownBacklogs() const {
  std::map<std::string, double> backlogs =
      context_.backlog_reports.Fresh(Clock::now());
  for (const auto& [shard, calls] : Backlogs()) {
    backlogs[shard] = std::max(backlogs[shard], calls);
  }
  return backlogs;
}

std::vector<std::string> StageDispatcher::BackedUpShards() const {
  std::vector<std::string> backed_up;
  if (!context_.Uses(Mechanism::kBackingUp)) return backed_up;
  for (const auto& [shard, calls] : KnownBacklogs()) {
    if (stages::IsBackedUp(calls)) backed_up.push_back(shard);
  }
  return backed_up;
}

bool StageDispatcher::CannotMeetDeadline(const Queue& queue,
                                         const stages::Piece& piece) const {
  if (!context_.Uses(Mechanism::kRefuseTooLate)) return false;
  const StageCallLimits* found = LimitsOf(queue);
  if (found == nullptr) return false;
  const StageCallLimits& limits = *found;
  const Clock::time_point now = Clock::now();
  const auto upstreams = UpstreamsOf(queue);
  std::vector<UpstreamPtr> usable;
  std::ranges::copy_if(upstreams, std::back_inserter(usable),
                       [&](const UpstreamPtr& u) {
                         return MaySend(*u, now) && !IsAvoided(*u, now);
                       });
  if (usable.empty()) return false;
  const auto full = CallTime(limits, static_cast<size_t>(limits.batch));
  const size_t before =
      queue.pieces.CountBefore(UrgencyOf(piece, full, now), now, full);
  const double calls_before =
      static_cast<double>(before) / std::max(1, limits.batch);
  const double time_left_s =
      std::chrono::duration<double>(piece.deadline - now).count();
  if (calls_before > time_left_s * context_.limiter->RateOf(usable)) {
    return true;
  }
  return now + stages::MinCompletionTime(limits, before, usable.size()) >
         piece.deadline;
}

std::optional<PieceFailure> StageDispatcher::RefusalReason(
    const Queue& queue, const stages::Piece& piece) const {
  if (context_.quarantine->RemainingQuarantine(piece.fingerprint)) {
    return PieceFailure::kQuarantined;
  }
  if (CannotMeetDeadline(queue, piece)) return PieceFailure::kLate;
  return std::nullopt;
}

uint64_t StageDispatcher::Submit(const std::string& shard, stages::Piece piece,
                                 stages::PieceEvents events) {
  Queue& queue = QueueOf(shard);
  // Refuse the piece now instead of when its deadline has passed: the caller
  // still has time to retry, and the queue serves the pieces that can meet
  // their deadlines.
  if (const auto failure = RefusalReason(queue, piece)) {
    QTimer::singleShot(0, this, [done = std::move(events.on_done), failure] {
      done({.failure = *failure, .handle = {}, .zone = {}});
    });
    return 0;
  }
  const uint64_t ticket =
      queue.pieces.Push(std::move(piece), std::move(events));
  ScheduleDispatch();
  return ticket;
}

bool StageDispatcher::Cancel(const std::string& shard, uint64_t ticket) {
  const auto it = queues_.find(shard);
  return it != queues_.end() && it->second->pieces.Cancel(ticket);
}

// Dispatches once for all events of one event loop iteration, so that the
// pieces of a stage, which arrive together, are sent in one call.
void StageDispatcher::ScheduleDispatch() {
  if (!dispatch_timer_.isActive()) dispatch_timer_.start(0);
}

void StageDispatcher::DispatchAll() {
  for (auto& [name, queue] : queues_) DispatchQueue(*queue);
}

void StageDispatcher::FailAll(std::vector<QueuedPiece> pieces,
                              const PieceResult& failure) {
  for (QueuedPiece& piece : pieces) piece.events.on_done(failure);
}

std::optional<PieceResult> StageDispatcher::NoUpstreamFailure(
    const Queue& queue, Clock::time_point now) const {
  const auto from = SendableFrom(UpstreamsOf(queue), {}, now);
  if (!from) return PieceResult{.failure = PieceFailure::kNoUpstream};
  if (*from <= now) return std::nullopt;
  return PieceResult{
      .failure = PieceFailure::kResting,
      .available_in =
          std::chrono::ceil<std::chrono::milliseconds>(*from - now)};
}

void StageDispatcher::FailLatePieces(Queue& queue,
                                     const StageCallLimits& limits) {
  const Clock::time_point now = Clock::now();
  const auto shortest = CallTime(limits, 1);
  const PieceResult late{.failure = PieceFailure::kLate};
  FailAll(queue.pieces.TakeInfeasible(shortest, now), late);
  if (!context_.Uses(Mechanism::kRefuseUnreached)) return;
  if (now < queue.late_checked_at + kLateCheckInterval) return;
  queue.late_checked_at = now;
  FailAll(queue.pieces.TakeStarved(NextCallDuration(queue, limits), now), late);
}

std::chrono::milliseconds StageDispatcher::NextCallDuration(
    const Queue& queue, const StageCallLimits& limits) {
  return CallTime(
      limits, std::min(queue.pieces.size(), static_cast<size_t>(limits.batch)));
}

void StageDispatcher::DispatchQueue(Queue& queue) {
  if (queue.pieces.size() == 0) return;
  const StageCallLimits* found = LimitsOf(queue);
  if (found == nullptr) {
    return FailAll(queue.pieces.TakeAll(),
                   {.failure = PieceFailure::kNoUpstream});
  }
  const StageCallLimits& limits = *found;
  std::erase_if(queue.workers, [](const auto& entry) {
    return !entry.first->listed && entry.second.calls == 0 &&
           entry.second.overdue == 0;
  });
  FailLatePieces(queue, limits);
  const Clock::time_point now = Clock::now();
  if (const auto failure = NoUpstreamFailure(queue, now)) {
    return FailAll(queue.pieces.TakeAll(), *failure);
  }
  std::vector<UpstreamPtr> free;
  std::vector<std::string> zones;
  const routing::ServiceSpec* spec = context_.FindService(queue.shard.service);
  const routing::UpstreamFilter admits =
      context_.cold_limiter.AdmitsAsOwner(spec, queue.name, now);
  for (const UpstreamPtr& u : UpstreamsOf(queue)) {
    if (!MaySend(*u, now) || IsAvoided(*u, now)) continue;
    if (admits && !admits(*u)) continue;
    zones.push_back(u->entry.zone);
    const Worker& worker = WorkerOf(queue, u);
    const int calls = worker.calls;
    if (calls < limits.slots &&
        stages::MayReplaceOverdue(limits, worker.overdue) &&
        u->brittle.Admits(calls, limits.slots, now)) {
      free.push_back(u);
    }
  }
  const stages::CallSpeeds speeds(UpstreamsOf(queue),
                                  context_.Uses(Mechanism::kExpectedTime), now);
  speeds.Sort(free);
  const std::vector<std::string> backed_up = BackedUpShards();
  for (const UpstreamPtr& u : free) {
    if (queue.pieces.size() == 0) return;
    const bool permitted = context_.limiter->KeepPermit(
        u, [this] { ScheduleDispatch(); }, now);
    if (!permitted) continue;
    Worker& worker = WorkerOf(queue, u);
    std::vector<QueuedPiece> call = queue.pieces.TakeCall(
        {.pieces = limits.batch,
         .result_memory_bytes =
             stages::ResultMemoryLeft(limits, worker.memory.Used(now)),
         .other_zones = zones,
         .backed_up = backed_up,
         .zone = u->entry.zone,
         .call_time = std::chrono::duration_cast<std::chrono::milliseconds>(
             NextCallDuration(queue, limits) * speeds.Factor(*u))},
        now);
    if (!call.empty()) {
      SendCall(queue, u, std::move(call), limits);
    }
  }
  if (queue.pieces.size() > 0 && !retry_timer_.isActive()) {
    retry_timer_.start(kRetryDelay);
  }
}

void StageDispatcher::SendCall(Queue& queue, const UpstreamPtr& upstream,
                               std::vector<QueuedPiece> pieces,
                               const StageCallLimits& limits) {
  for (QueuedPiece& q : pieces) {
    // A piece counts like a request to the service: its first send earns retry
    // credit.
    if (q.sends++ > 0 || q.piece.retried) continue;
    context_.retries.OnRequest(queue.shard.service, Clock::now(),
                               kPieceCreditWeight);
  }
  const auto timeout = stages::CallTimeout(limits, pieces.size());
  const auto overdue = stages::OverdueTime(limits, pieces.size(),
                                           WorkerOf(queue, upstream).slowness);
  const auto usual = CallTime(limits, pieces.size());
  auto* call = new PieceCall(
      context_,
      {.shard = queue.name,
       .service = queue.shard.service,
       .upstream = upstream,
       .pieces = std::move(pieces),
       .timeout = timeout,
       .overdue = overdue,
       .usual = usual},
      {.on_inputs_fetched = [this](PieceCall& c) { OnInputsFetched(c); },
       .on_overdue = [this](PieceCall& c) { OnCallOverdue(c); },
       .on_done = [this, batch = limits.batch](
                      PieceCall& c,
                      auto results) { OnCallDone(c, results, batch); },
       .on_failed = [this](PieceCall& c,
                           Outcome outcome) { OnCallFailed(c, outcome); }},
      this);
  Worker& worker = WorkerOf(queue, upstream);
  context_.cold_limiter.RecordSend(context_.FindService(queue.shard.service),
                                   *upstream, Clock::now());
  context_.limiter->UseKeptPermit(*upstream);
  worker.memory.Reserve(call->bytes());
  ++worker.calls;
  call->Start();
}

void StageDispatcher::OnCallDone(PieceCall& call,
                                 std::span<const PieceResult> results,
                                 int batch) {
  context_.RecordOutcome(*call.upstream(), Outcome::kAnswered,
                         static_cast<double>(call.elapsed().count()));
  utils::DecisionLog("stage_call_done")
      .Add("service", call.service())
      .Add("upstream", call.upstream()->entry.id)
      .Add("pieces", results.size())
      .Add("batch", batch)
      .Add("bytes", call.bytes())
      .Add("connection", call.connection_id())
      .Add("exchange", call.exchange_number())
      .Add("waiting", QueueOf(call.shard()).pieces.size())
      .Add("ms", call.elapsed().count());
  for (size_t i = 0; i < results.size(); ++i) {
    if (results[i].failure != PieceFailure::kNone) continue;
    const stages::Piece& piece = call.pieces()[i].piece;
    context_.quarantine->OnGoodRun({.fingerprint = piece.fingerprint,
                                    .service = call.service(),
                                    .at = Clock::now(),
                                    .parts = {}},
                                   piece.request_id);
  }
  Deliver(call, results);
  ScheduleDispatch();
}

void StageDispatcher::Deliver(PieceCall& call,
                              std::span<const PieceResult> results) {
  Queue& queue = QueueOf(call.shard());
  Worker& worker = WorkerOf(queue, call.upstream());
  worker.OnCallEnd(call.overdue());
  worker.memory.Unreserve(call.bytes());
  const routing::ServiceSpec* spec =
      context_.table->FindService(call.service());
  if (spec != nullptr && spec->stage) {
    const auto usual = stages::CallTime(*spec->stage, results.size());
    worker.slowness +=
        kSlownessWeight * (std::chrono::duration<double>(call.elapsed()) /
                               std::max(usual, std::chrono::milliseconds(1)) -
                           worker.slowness);
  }
  const double result_retention_s =
      spec && spec->stage ? spec->stage->result_retention_s : 0;
  const auto expires_at =
      Clock::now() + std::chrono::milliseconds(
                         static_cast<int64_t>(result_retention_s * 1000));
  for (size_t i = 0; i < results.size(); ++i) {
    QueuedPiece& piece = call.pieces()[i];
    PieceResult result = results[i];
    result.zone = call.upstream()->entry.zone;
    if (result.failure == PieceFailure::kNone) {
      worker.memory.Hold(result.handle, piece.piece.result_bytes, expires_at);
    }
    const bool retryable = result.failure == PieceFailure::kNoMemory ||
                           result.failure == PieceFailure::kFailed;
    if (retryable && piece.sends < kMaxSends &&
        SpendRetryCredit(context_, call.service(), piece.piece.request_id)) {
      queue.pieces.Requeue(std::move(piece));
      continue;
    }
    piece.events.on_done(result);
  }
  const bool no_room = std::ranges::any_of(results, [](const PieceResult& r) {
    return r.failure == PieceFailure::kNoMemory;
  });
  if (!no_room || spec == nullptr || !spec->stage) return;
  const auto now = Clock::now();
  worker.memory.NoteFull(
      stages::ResultMemoryLeft(*spec->stage, worker.memory.Used(now)), now);
}

void StageDispatcher::OnCallOverdue(PieceCall& call) {
  Worker& worker = WorkerOf(QueueOf(call.shard()), call.upstream());
  --worker.calls;
  ++worker.overdue;
  utils::DecisionLog("stage_call_overdue")
      .Add("service", call.service())
      .Add("upstream", call.upstream()->entry.id)
      .Add("pieces", call.pieces().size())
      .Add("slowness", worker.slowness)
      .Add("ms", call.elapsed().count());
  ScheduleDispatch();
}

void StageDispatcher::OnCallFailed(PieceCall& call, Outcome outcome) {
  context_.RecordOutcome(*call.upstream(), outcome, 0);
  Worker& worker = WorkerOf(QueueOf(call.shard()), call.upstream());
  if (outcome == Outcome::kRefused) {
    call.upstream()->brittle.OnRefusal(worker.calls, Clock::now());
  }
  worker.OnCallEnd(call.overdue());
  worker.memory.Unreserve(call.bytes());
  utils::DecisionLog("stage_call_failed")
      .Add("service", call.service())
      .Add("upstream", call.upstream()->entry.id)
      .Add("outcome", static_cast<int>(outcome))
      .Add("status", call.status())
      .Add("connection", call.connection_id())
      .Add("exchange", call.exchange_number())
      .Add("pieces", call.pieces().size())
      .Add("first_request", call.pieces().front().piece.request_id);
  if (outcome == Outcome::kBroken) return OnCallBroken(call);
  Retry(call.shard(), std::move(call.pieces()), outcome == Outcome::kNotSent);
  ScheduleDispatch();
}

void StageDispatcher::OnCallBroken(PieceCall& call) {
  std::vector<InterruptedRequest> requests;
  for (const QueuedPiece& piece : call.pieces()) {
    requests.push_back(
        {.traits = {.fingerprint = piece.piece.fingerprint, .parts = {}},
         .progressed = false});
  }
  auto pieces =
      std::make_shared<std::vector<QueuedPiece>>(std::move(call.pieces()));
  context_.quarantine->OnExchangesBroken(
      call.upstream(), std::move(requests),
      [this, shard = call.shard(), pieces](ProcessState /*state*/) {
        Retry(shard, std::move(*pieces), false);
        ScheduleDispatch();
      });
}

void StageDispatcher::Retry(const std::string& shard,
                            std::vector<QueuedPiece> pieces,
                            bool known_not_run) {
  Queue& queue = QueueOf(shard);
  const std::string& service = queue.shard.service;
  // A retry that no upstream may receive would only cost credit.
  if (const auto failure = NoUpstreamFailure(queue, Clock::now())) {
    return FailAll(std::move(pieces), *failure);
  }
  for (QueuedPiece& piece : pieces) {
    if (context_.quarantine->RemainingQuarantine(piece.piece.fingerprint)) {
      piece.events.on_done(
          {.failure = PieceFailure::kQuarantined, .handle = {}, .zone = {}});
      continue;
    }
    const bool may_retry =
        known_not_run ||
        (piece.sends < kMaxSends &&
         SpendRetryCredit(context_, service, piece.piece.request_id));
    if (may_retry) {
      queue.pieces.Requeue(std::move(piece));
    } else {
      piece.events.on_done(
          {.failure = PieceFailure::kFailed, .handle = {}, .zone = {}});
    }
  }
}

void StageDispatcher::OnReleased(const std::string& shard,
                                 const std::vector<std::string>& handles) {
  Queue& queue = QueueOf(shard);
  for (auto& [upstream, worker] : queue.workers) {
    for (const std::string& handle : handles) worker.memory.Release(handle);
  }
  ScheduleDispatch();
}

void StageDispatcher::OnInputsFetched(PieceCall& call) const {
  if (!context_.Uses(Mechanism::kEarlyRelease)) return;
  for (const QueuedPiece& piece : call.pieces()) {
    if (piece.events.on_inputs_fetched) piece.events.on_inputs_fetched();
  }
}

}  // namespace turmeric::entry
