#include "turmeric/entry/stage_router.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/instance_links.h"
#include "turmeric/entry/retry_credit.h"
#include "turmeric/entry/stage_dispatcher.h"
#include "turmeric/stages/shard.h"

namespace turmeric::entry {

using stages::PieceFailure;
using stages::PieceResult;

namespace {

/**
 * Number of times that a piece may move to another shard because its shard has
 * no upstreams left.
 */
constexpr int kMaxShardMoves = 3;
/** Calls waiting for each upstream that a shard whose upstreams all rest counts
 * for; more than any other shard has. */
constexpr double kRestingBacklog = 1000;

}  // namespace

/**
 * A piece submitted by this instance, queued at its own dispatcher or at the
 * owner of the shard.
 */
struct StageRouter::Pending {
  std::string shard;
  stages::Piece piece;
  stages::PieceEvents events;
  std::string owner;  ///< Empty: queued at this instance's dispatcher.
  /** Sent to an instance that had responded on its connection. */
  bool may_have_run = false;
  int shard_moves = 0;  ///< Times that the shard had no upstream left.
  uint64_t local_ticket = 0;
};

StageRouter::StageRouter(EntryContext& context, InstanceLinks& links,
                         StageDispatcher& local)
    : context_(context), links_(links), local_(local) {}

StageRouter::~StageRouter() = default;

std::string StageRouter::ShardFor(const std::string& service,
                                  const stages::ShardPreference& wish,
                                  std::string_view resting_shard) const {
  const bool by_zone = context_.Uses(config::Mechanism::kZoneShards);
  const bool spills = context_.Uses(config::Mechanism::kShardSpill);
  auto backlogs =
      spills ? local_.KnownBacklogs() : std::map<std::string, double>();
  if (!resting_shard.empty()) {
    backlogs[std::string(resting_shard)] = kRestingBacklog;
  }
  return stages::ChooseShard(
      service, {wish.request_id, by_zone ? wish.zone : std::string_view()},
      context_.upstreams.ForService(service), backlogs);
}

uint64_t StageRouter::Submit(const std::string& service, stages::Piece piece,
                             stages::PieceEvents events) {
  if (!piece.retried) {
    context_.retries.OnRequest(service, Clock::now(), kPieceCreditWeight);
  }
  const uint64_t ticket = next_ticket_++;
  std::string shard = ShardFor(service, {piece.request_id, piece.zone});
  // The following stages run in the zone that holds the results of this piece.
  const std::string zone = stages::ParseShard(shard).zone;
  for (std::string& next : piece.next_services) {
    next = ShardFor(next, {piece.request_id, zone});
  }
  pending_.emplace(ticket, Pending{.shard = std::move(shard),
                                   .piece = std::move(piece),
                                   .events = std::move(events),
                                   .owner = {},
                                   .may_have_run = false,
                                   .shard_moves = 0,
                                   .local_ticket = 0});
  Dispatch(ticket);
  return ticket;
}

void StageRouter::Dispatch(uint64_t ticket) {
  Pending& pending = pending_.at(ticket);
  const auto owner = links_.OwnerOf(pending.shard);
  if (peer::PeerLink* link = owner ? links_.Open(*owner) : nullptr) {
    pending.owner = *owner;
    pending.may_have_run = pending.may_have_run || link->has_received();
    link->outgoing().pieces.push_back({ticket, pending.shard, pending.piece});
    return;
  }
  pending.owner.clear();
  pending.local_ticket = local_.Submit(
      pending.shard, pending.piece,
      {.on_inputs_fetched = [this, ticket] { OnInputsFetched(ticket); },
       .on_done = [this, ticket](
                      const PieceResult& result) { OnDone(ticket, result); }});
}

void StageRouter::OnInputsFetched(uint64_t ticket) {
  const auto it = pending_.find(ticket);
  if (it == pending_.end()) return;
  const auto callback = it->second.events.on_inputs_fetched;
  if (callback) callback();
}

void StageRouter::OnDone(uint64_t ticket, const PieceResult& result) {
  const auto it = pending_.find(ticket);
  if (it == pending_.end()) return;
  const bool unusable = result.failure == PieceFailure::kNoUpstream ||
                        result.failure == PieceFailure::kResting;
  if (unusable && MoveToOtherShard(ticket, result.failure)) return;
  const auto callback = std::move(it->second.events.on_done);
  pending_.erase(it);
  callback(result);
}

// Guard: all upstreams of a zone may fail, or rest, at once. Queued pieces are
// not part of any call yet; failing them would refuse their requests although
// upstreams of other zones are available.
bool StageRouter::MoveToOtherShard(uint64_t ticket, PieceFailure failure) {
  Pending& pending = pending_.at(ticket);
  const std::string service = stages::ParseShard(pending.shard).service;
  const bool rests = failure == PieceFailure::kResting;
  std::string shard =
      ShardFor(service, {pending.piece.request_id, pending.piece.zone},
               rests ? pending.shard : std::string_view());
  if (shard == pending.shard || ++pending.shard_moves > kMaxShardMoves) {
    return false;
  }
  pending.shard = std::move(shard);
  Dispatch(ticket);
  return true;
}

bool StageRouter::TakeRetryCredit(const std::string& service,
                                  const std::string& request, int pieces) {
  return entry::SpendRetryCredit(context_, service, request, pieces);
}

bool StageRouter::Cancel(const std::string& /*service*/, uint64_t ticket) {
  const auto it = pending_.find(ticket);
  if (it == pending_.end()) return true;
  if (it->second.owner.empty()) {
    if (!local_.Cancel(it->second.shard, it->second.local_ticket)) return false;
  } else {
    // If a call with the piece is in progress, the owner releases its result.
    if (peer::PeerLink* link = links_.Find(it->second.owner)) {
      link->outgoing().cancelled.push_back(ticket);
    }
  }
  pending_.erase(it);
  return true;
}

void StageRouter::Release(const std::string& service,
                          std::vector<std::string> handles) {
  const auto upstreams = context_.upstreams.ForService(service);
  std::map<std::string, std::vector<std::string>> by_shard;
  for (std::string& handle : handles) {
    const routing::UpstreamPtr producer = context_.upstreams.FindAt(
        service, context_.wire.handle_address(handle));
    // A result does not outlive the process that made it, so there is nothing
    // to release if that upstream is no longer known.
    if (!producer) continue;
    by_shard[stages::ShardOfUpstream(*producer, upstreams)].push_back(
        std::move(handle));
  }
  for (auto& [shard, held] : by_shard) {
    const auto owner = links_.OwnerOf(shard);
    if (peer::PeerLink* link = owner ? links_.Open(*owner) : nullptr) {
      link->outgoing().releases.push_back({shard, std::move(held)});
    } else {
      local_.Release(shard, std::move(held));
    }
  }
}

void StageRouter::OnFrame(const peer::Frame& frame) {
  for (const peer::Backlog& backlog : frame.backlogs) {
    context_.backlog_reports.Record(backlog.service, backlog.calls,
                                    Clock::now());
  }
  for (const uint64_t ticket : frame.taken) OnInputsFetched(ticket);
  for (const peer::PieceDone& d : frame.done) OnDone(d.ticket, d.result);
}

void StageRouter::OnInstanceLost(const std::string& name, bool was_reset) {
  std::vector<uint64_t> tickets;
  for (const auto& [ticket, pending] : pending_) {
    if (pending.owner == name) tickets.push_back(ticket);
  }
  std::ranges::sort(tickets);
  for (const uint64_t ticket : tickets) {
    // on_done of one piece may end its request, which cancels other pieces of
    // the list.
    const auto it = pending_.find(ticket);
    if (it == pending_.end()) continue;
    Pending& pending = it->second;
    // Pieces that may already have run count as retries when they run
    // elsewhere.
    const bool is_retry = !was_reset && pending.may_have_run;
    pending.piece.retried = pending.piece.retried || is_retry;
    if (is_retry && !entry::SpendRetryCredit(
                        context_, stages::ParseShard(pending.shard).service,
                        pending.piece.request_id)) {
      OnDone(ticket,
             {.failure = PieceFailure::kFailed, .handle = {}, .zone = {}});
      continue;
    }
    Dispatch(ticket);
  }
}

}  // namespace turmeric::entry
