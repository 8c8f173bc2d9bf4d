#include "turmeric/entry/stage_router.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/stage_dispatcher.h"
#include "turmeric/routing/choice.h"
#include "turmeric/stages/shard.h"
#include "turmeric/utils/decision_log.h"
#include "turmeric/utils/random_id.h"

namespace turmeric::entry {

using stages::PieceFailure;
using stages::PieceResult;
using std::chrono::milliseconds;

namespace {

/** An instance that did not answer is left alone this long. One that
 * restarts makes itself known at once, so this is for cut links. */
constexpr milliseconds kDownFor{3000};
/** Fleet size assumed for the retry budget before the list is read: above
 * the fleets in use, so that too little is spent, not too much. */
constexpr int kUnknownFleet = 16;
/** Enough to tell two starts of one instance apart. */
constexpr size_t kIdentityDigits = 8;

}  // namespace

/** A piece of a request of ours, wherever it waits. */
struct StageRouter::Pending {
  std::string shard;
  stages::Piece piece;
  stages::PieceEvents events;
  std::string owner;       ///< Empty: our own dispatcher.
  bool reached = false;    ///< It was handed to an instance that answered.
  bool moved = false;      ///< It may have been made where it was before.
  bool left_zone = false;  ///< No upstream was left where it waited.
  uint64_t local_ticket = 0;
};

/** Another instance of the fleet. */
struct StageRouter::Instance {
  std::string name;
  std::string address;
  peer::PeerLink* link = nullptr;
  Clock::time_point down_till;
  bool leaving = false;
};

StageRouter::StageRouter(EntryContext& context, StageDispatcher& local)
    : context_(context),
      local_(local),
      identity_(context.settings.name + "#" +
                utils::RandomHex(kIdentityDigits)) {
  context_.retries.set_live_instances(kUnknownFleet);
}

StageRouter::~StageRouter() = default;

void StageRouter::SetInstances(const InstanceAddresses& addresses) {
  for (const auto& [name, address] : addresses) {
    if (name == context_.settings.name) continue;
    const bool is_new = !instances_.contains(name);
    Instance& instance = instances_[name];
    instance.name = name;
    instance.address = address;
    // A first connection tells the other that we are here (again).
    if (is_new) LinkTo(instance).outgoing();
  }
  context_.retries.set_live_instances(static_cast<int>(instances_.size()) + 1);
}

std::string StageRouter::ShardFor(const std::string& service,
                                  const stages::ShardWish& wish) const {
  const bool by_zone = context_.Uses(config::Mechanism::kZoneShards);
  const bool spills = context_.Uses(config::Mechanism::kShardSpill);
  return stages::ChooseShard(
      service, {wish.request_id, by_zone ? wish.zone : std::string_view()},
      context_.upstreams.ForService(service),
      spills ? local_.KnownBacklogs() : std::map<std::string, double>());
}

StageRouter::Instance* StageRouter::Owner(const std::string& shard) {
  const auto now = Clock::now();
  Instance* owner = nullptr;
  uint64_t best =
      leaving_ ? 0 : routing::RendezvousWeight(shard, context_.settings.name);
  for (auto& [name, instance] : instances_) {
    if (instance.leaving || now < instance.down_till) continue;
    const uint64_t weight = routing::RendezvousWeight(shard, name);
    if (weight <= best) continue;
    owner = &instance;
    best = weight;
  }
  return owner;
}

peer::PeerLink& StageRouter::LinkTo(Instance& instance) {
  if (instance.link == nullptr) {
    instance.link = new peer::PeerLink(
        http::ParseEndpoint(instance.address), identity_,
        {.on_frame =
             [this, name = instance.name](peer::Frame&& frame) {
               OnInstanceFrame(name, std::move(frame));
             },
         .on_flush = [this](peer::Frame& frame) { context_.news.Tell(frame); },
         .on_end = [this, name = instance.name](
                       std::string_view why) { OnInstanceLost(name, why); }},
        this);
    // Guard: a first frame takes back what was said on an earlier link. Silent
    // on this one, an instance that leaves would be handed pieces again.
    if (leaving_) instance.link->outgoing().leaving = true;
  }
  return *instance.link;
}

std::optional<StageRouter::OwnerLink> StageRouter::LinkToOwner(
    const std::string& shard) {
  Instance* owner = Owner(shard);
  if (owner == nullptr) return std::nullopt;
  return OwnerLink{owner->name, &LinkTo(*owner)};
}

peer::PeerLink* StageRouter::LinkTo(const std::string& name) {
  const auto it = instances_.find(name);
  return it == instances_.end() ? nullptr : it->second.link;
}

uint64_t StageRouter::Submit(const std::string& service, stages::Piece piece,
                             stages::PieceEvents events) {
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
                                   .moved = false,
                                   .left_zone = false,
                                   .local_ticket = 0});
  Place(ticket);
  return ticket;
}

void StageRouter::Place(uint64_t ticket) {
  Pending& pending = pending_.at(ticket);
  Instance* owner = Owner(pending.shard);
  if (owner != nullptr) {
    pending.owner = owner->name;
    peer::PeerLink& link = LinkTo(*owner);
    pending.reached = pending.reached || link.heard();
    link.outgoing().pieces.push_back({ticket, pending.shard, pending.piece});
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
  if (shard == pending.shard || std::exchange(pending.left_zone, true)) {
    return false;
  }
  pending.shard = std::move(shard);
  Place(ticket);
  return true;
}

bool StageRouter::Cancel(const std::string& /*service*/, uint64_t ticket) {
  const auto it = pending_.find(ticket);
  if (it == pending_.end()) return true;
  if (it->second.owner.empty()) {
    if (!local_.Cancel(it->second.shard, it->second.local_ticket)) return false;
  } else {
    // The owner releases the result, should a call with it be in progress.
    const auto owner = instances_.find(it->second.owner);
    if (owner != instances_.end() && owner->second.link != nullptr) {
      owner->second.link->outgoing().cancelled.push_back(ticket);
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
    Instance* owner = Owner(shard);
    if (owner == nullptr) {
      local_.Release(shard, std::move(held));
    } else {
      LinkTo(*owner).outgoing().releases.push_back({shard, std::move(held)});
    }
  }
}

void StageRouter::OnInstanceFrame(const std::string& name,
                                  peer::Frame&& frame) {
  context_.news.Hear(frame, Clock::now());
  Instance& instance = instances_[name];
  instance.leaving = frame.leaving || instance.leaving;
  for (const peer::Backlog& backlog : frame.backlogs) {
    context_.backlogs.Note(backlog.service, backlog.calls, Clock::now());
  }
  if (!frame.placed.empty()) placement_events_.on_placed(frame.placed);
  for (const uint64_t ticket : frame.taken) Taken(ticket);
  for (const peer::PieceDone& done : frame.done) Done(done.ticket, done.result);
}

void StageRouter::OnInstanceLost(const std::string& name,
                                 std::string_view why) {
  Instance& instance = instances_[name];
  const bool heard = instance.link->heard();
  const bool silent = instance.link->silent();
  std::exchange(instance.link, nullptr)->deleteLater();
  instance.leaving = false;
  // Guard: a reset of a connection says nothing of the instance behind it.
  // Taken as its loss, its pieces would be made twice, and for seconds two
  // owners would fill half calls each. It is tried once more.
  const bool again_there = heard && !silent;
  if (!again_there) instance.down_till = Clock::now() + kDownFor;
  utils::DecisionLog("peer_lost")
      .Add("peer", name)
      .Add("why", why)
      .Add("tried_again", again_there);
  placement_events_.on_owner_lost(name);
  MoveOn(name, again_there);
}

void StageRouter::MoveOn(const std::string& name, bool again_there) {
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
    // What may have been in a call already is a repeat elsewhere. The first
    // one is free: it is bounded by the pieces that the lost instance had, and
    // this instance earns no repeats for pieces that others send.
    const bool repeat = !again_there && pending.reached;
    const bool moved_before =
        std::exchange(pending.moved, pending.moved || repeat);
    if (repeat && moved_before &&
        !context_.retries.TrySpend(stages::ParseShard(pending.shard).service,
                                   Clock::now())) {
      Done(ticket,
           {.failure = PieceFailure::kFailed, .handle = {}, .zone = {}});
      continue;
    }
    Place(ticket);
  }
}

void StageRouter::OnSeen(const std::string& name, bool leaving) {
  const auto it = instances_.find(name);
  if (it == instances_.end()) return;
  it->second.leaving = leaving;
  it->second.down_till = {};
}

void StageRouter::Leave() {
  leaving_ = true;
  for (auto& [name, instance] : instances_) {
    if (instance.link != nullptr) instance.link->outgoing().leaving = true;
  }
}

}  // namespace turmeric::entry
