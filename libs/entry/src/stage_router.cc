#include "turmeric/entry/stage_router.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/instance_links.h"
#include "turmeric/entry/repeat_credit.h"
#include "turmeric/entry/stage_dispatcher.h"
#include "turmeric/stages/shard.h"

namespace turmeric::entry {

using stages::PieceFailure;
using stages::PieceResult;

namespace {

/** Shards that a piece may leave, as none of their upstreams is left. */
constexpr int kMostShardsLeft = 3;

}  // namespace

/** A piece of a request of ours, wherever it waits. */
struct StageRouter::Pending {
  std::string shard;
  stages::Piece piece;
  stages::PieceEvents events;
  std::string owner;     ///< Empty: our own dispatcher.
  bool reached = false;  ///< It was handed to an instance that answered.
  int shards_left = 0;   ///< Where no upstream was left as it waited.
  uint64_t local_ticket = 0;
};

StageRouter::StageRouter(EntryContext& context, InstanceLinks& links,
                         StageDispatcher& local)
    : context_(context), links_(links), local_(local) {}

StageRouter::~StageRouter() = default;

std::string StageRouter::ShardFor(const std::string& service,
                                  const stages::ShardWish& wish) const {
  const bool by_zone = context_.Uses(config::Mechanism::kZoneShards);
  const bool spills = context_.Uses(config::Mechanism::kShardSpill);
  return stages::ChooseShard(
      service, {wish.request_id, by_zone ? wish.zone : std::string_view()},
      context_.upstreams.ForService(service),
      spills ? local_.KnownBacklogs() : std::map<std::string, double>());
}

uint64_t StageRouter::Submit(const std::string& service, stages::Piece piece,
                             stages::PieceEvents events) {
  if (!piece.repeated) {
    context_.retries.OnRequest(service, Clock::now(), kPieceWeight);
  }
  const uint64_t ticket = next_ticket_++;
  std::string shard = ShardFor(service, {piece.request_id, piece.zone});
  // Their results are made where they are.
  const std::string zone = stages::ParseShard(shard).zone;
  for (std::string& next : piece.next_services) {
    next = ShardFor(next, {piece.request_id, zone});
  }
  pending_.emplace(ticket, Pending{.shard = std::move(shard),
                                   .piece = std::move(piece),
                                   .events = std::move(events),
                                   .owner = {},
                                   .reached = false,
                                   .shards_left = 0,
                                   .local_ticket = 0});
  Place(ticket);
  return ticket;
}

void StageRouter::Place(uint64_t ticket) {
  Pending& pending = pending_.at(ticket);
  const auto owner = links_.OwnerOf(pending.shard);
  if (peer::PeerLink* link = owner ? links_.Open(*owner) : nullptr) {
    pending.owner = *owner;
    pending.reached = pending.reached || link->has_received();
    link->outgoing().pieces.push_back({ticket, pending.shard, pending.piece});
    return;
  }
  pending.owner.clear();
  pending.local_ticket = local_.Submit(
      pending.shard, pending.piece,
      {.on_inputs_taken = [this, ticket] { Taken(ticket); },
       .on_done = [this, ticket](
                      const PieceResult& result) { Done(ticket, result); }});
}

void StageRouter::Taken(uint64_t ticket) {
  const auto it = pending_.find(ticket);
  if (it == pending_.end()) return;
  const auto callback = it->second.events.on_inputs_taken;
  if (callback) callback();
}

void StageRouter::Done(uint64_t ticket, const PieceResult& result) {
  const auto it = pending_.find(ticket);
  if (it == pending_.end()) return;
  if (result.failure == PieceFailure::kNoUpstream && MoveToOther(ticket)) {
    return;
  }
  const auto callback = std::move(it->second.events.on_done);
  pending_.erase(it);
  callback(result);
}

// Guard: all upstreams of a zone may go at once, and what waits for them was in
// no call yet. Failed with them, its callers would be refused while the other
// zones' upstreams serve.
bool StageRouter::MoveToOther(uint64_t ticket) {
  Pending& pending = pending_.at(ticket);
  const std::string service = stages::ParseShard(pending.shard).service;
  std::string shard =
      ShardFor(service, {pending.piece.request_id, pending.piece.zone});
  if (shard == pending.shard || ++pending.shards_left > kMostShardsLeft) {
    return false;
  }
  pending.shard = std::move(shard);
  Place(ticket);
  return true;
}

bool StageRouter::TakeRepeats(const std::string& service,
                              const std::string& request, int pieces) {
  return entry::TakeRepeats(context_, service, request, pieces);
}

bool StageRouter::Cancel(const std::string& /*service*/, uint64_t ticket) {
  const auto it = pending_.find(ticket);
  if (it == pending_.end()) return true;
  if (it->second.owner.empty()) {
    if (!local_.Cancel(it->second.shard, it->second.local_ticket)) return false;
  } else {
    // The owner releases the result, should a call with it be in progress.
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
    const routing::UpstreamPtr maker = context_.upstreams.FindAt(
        service, context_.wire.handle_address(handle));
    // A result does not outlive its maker: nothing to release then.
    if (!maker) continue;
    by_shard[stages::ShardOfUpstream(*maker, upstreams)].push_back(
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
    context_.backlogs.Note(backlog.service, backlog.calls, Clock::now());
  }
  for (const uint64_t ticket : frame.taken) Taken(ticket);
  for (const peer::PieceDone& done : frame.done) Done(done.ticket, done.result);
}

void StageRouter::OnLost(const std::string& name, bool again_there) {
  std::vector<uint64_t> there;
  for (const auto& [ticket, pending] : pending_) {
    if (pending.owner == name) there.push_back(ticket);
  }
  std::ranges::sort(there);
  for (const uint64_t ticket : there) {
    // The end of one piece may end its request, and with it others of these.
    const auto it = pending_.find(ticket);
    if (it == pending_.end()) continue;
    Pending& pending = it->second;
    // What may have been in a call already is a repeat elsewhere.
    const bool repeat = !again_there && pending.reached;
    pending.piece.repeated = pending.piece.repeated || repeat;
    if (repeat &&
        !entry::TakeRepeats(context_, stages::ParseShard(pending.shard).service,
                            pending.piece.request_id)) {
      Done(ticket,
           {.failure = PieceFailure::kFailed, .handle = {}, .zone = {}});
      continue;
    }
    Place(ticket);
  }
}

}  // namespace turmeric::entry
