#include "turmeric/entry/stage_router.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/stage_dispatcher.h"
#include "turmeric/routing/choice.h"
#include "turmeric/utils/decision_log.h"

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

}  // namespace

/** A piece of a request of ours, wherever it waits. */
struct StageRouter::Pending {
  std::string service;
  stages::Piece piece;
  stages::PieceEvents events;
  std::string owner;  ///< Empty: our own dispatcher.
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

/** An instance that has connected to us, and its pieces here. */
struct StageRouter::Guest {
  peer::PeerLink* link = nullptr;
  std::string name;
  struct Order {
    std::string service;
    uint64_t local_ticket = 0;
  };
  std::unordered_map<uint64_t, Order> orders;  ///< By its ticket.
};

StageRouter::StageRouter(EntryContext& context, StageDispatcher& local)
    : context_(context), local_(local) {
  context_.retries.set_live_instances(kUnknownFleet);
}

StageRouter::~StageRouter() = default;

utils::Result<void> StageRouter::Listen(const std::string& address) {
  listener_ =
      std::make_unique<http::Listener>([this](int fd) { AcceptGuest(fd); });
  return listener_->Listen(http::ParseEndpoint(address));
}

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

StageRouter::Instance* StageRouter::Owner(const std::string& service) {
  const auto now = Clock::now();
  Instance* owner = nullptr;
  uint64_t best =
      leaving_ ? 0 : routing::RendezvousWeight(service, context_.settings.name);
  for (auto& [name, instance] : instances_) {
    if (instance.leaving || now < instance.down_till) continue;
    const uint64_t weight = routing::RendezvousWeight(service, name);
    if (weight <= best) continue;
    owner = &instance;
    best = weight;
  }
  return owner;
}

peer::PeerLink& StageRouter::LinkTo(Instance& instance) {
  if (instance.link == nullptr) {
    instance.link = new peer::PeerLink(
        http::ParseEndpoint(instance.address), context_.settings.name,
        {.on_frame =
             [this, name = instance.name](peer::Frame&& frame) {
               OnInstanceFrame(name, std::move(frame));
             },
         .on_end = [this, name = instance.name](
                       std::string_view why) { OnInstanceLost(name, why); }},
        this);
  }
  return *instance.link;
}

uint64_t StageRouter::Submit(const std::string& service, stages::Piece piece,
                             stages::PieceEvents events) {
  const uint64_t ticket = next_ticket_++;
  pending_.emplace(ticket, Pending{.service = service,
                                   .piece = std::move(piece),
                                   .events = std::move(events),
                                   .owner = {},
                                   .local_ticket = 0});
  Place(ticket);
  return ticket;
}

void StageRouter::Place(uint64_t ticket) {
  Pending& pending = pending_.at(ticket);
  Instance* owner = Owner(pending.service);
  if (owner != nullptr) {
    pending.owner = owner->name;
    LinkTo(*owner).outgoing().pieces.push_back(
        {ticket, pending.service, pending.piece});
    return;
  }
  pending.owner.clear();
  pending.local_ticket = local_.Submit(
      pending.service, pending.piece,
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
  const auto callback = std::move(it->second.events.on_done);
  pending_.erase(it);
  callback(result);
}

void StageRouter::Cancel(const std::string& service, uint64_t ticket) {
  const auto it = pending_.find(ticket);
  if (it == pending_.end()) return;
  const Pending& pending = it->second;
  if (pending.owner.empty()) {
    // One that is part of a call still ends through Done, which releases
    // its result.
    return local_.Cancel(service, pending.local_ticket);
  }
  const auto owner = instances_.find(pending.owner);
  if (owner != instances_.end() && owner->second.link != nullptr) {
    owner->second.link->outgoing().cancelled.push_back(ticket);
  }
}

void StageRouter::Release(const std::string& service,
                          std::vector<std::string> handles) {
  Instance* owner = Owner(service);
  if (owner == nullptr) return local_.Release(service, std::move(handles));
  LinkTo(*owner).outgoing().releases.push_back({service, std::move(handles)});
}

void StageRouter::OnInstanceFrame(const std::string& name,
                                  peer::Frame&& frame) {
  Instance& instance = instances_[name];
  instance.leaving = frame.leaving || instance.leaving;
  for (const uint64_t ticket : frame.taken) Taken(ticket);
  for (const peer::PieceDone& done : frame.done) Done(done.ticket, done.result);
}

void StageRouter::OnInstanceLost(const std::string& name,
                                 std::string_view why) {
  Instance& instance = instances_[name];
  const bool reached = instance.link->heard();
  std::exchange(instance.link, nullptr)->deleteLater();
  instance.leaving = false;
  instance.down_till = Clock::now() + kDownFor;
  std::vector<uint64_t> there;
  for (const auto& [ticket, pending] : pending_) {
    if (pending.owner == name) there.push_back(ticket);
  }
  utils::DecisionLog("peer_lost")
      .Add("peer", name)
      .Add("why", why)
      .Add("reached", reached)
      .Add("pieces", there.size());
  std::ranges::sort(there);
  for (const uint64_t ticket : there) {
    // What never reached it is no repeat; the rest may have been sent.
    const bool may = !reached || context_.retries.TrySpend(
                                     pending_.at(ticket).service, Clock::now());
    if (may) {
      Place(ticket);
    } else {
      Done(ticket,
           {.failure = PieceFailure::kFailed, .handle = {}, .zone = {}});
    }
  }
}

void StageRouter::AcceptGuest(int fd) {
  const uint64_t id = next_guest_++;
  auto guest = std::make_unique<Guest>();
  guest->link = new peer::PeerLink(
      fd,
      {.on_frame =
           [this, id](peer::Frame&& frame) {
             OnGuestFrame(id, std::move(frame));
           },
       .on_end = [this, id](std::string_view) { OnGuestLost(id); }},
      this);
  if (leaving_) guest->link->outgoing().leaving = true;
  guests_.emplace(id, std::move(guest));
}

void StageRouter::OnGuestFrame(uint64_t guest_id, peer::Frame&& frame) {
  Guest& guest = *guests_.at(guest_id);
  if (!frame.sender.empty()) {
    guest.name = frame.sender;
    // It has just started, or can reach us again.
    const auto it = instances_.find(guest.name);
    if (it != instances_.end() && it->second.link == nullptr) {
      it->second.down_till = {};
    }
  }
  const auto known = instances_.find(guest.name);
  if (frame.leaving && known != instances_.end()) known->second.leaving = true;
  for (peer::PieceOrder& order : frame.pieces) {
    const uint64_t ticket = order.ticket;
    const std::string service = order.service;
    const uint64_t local_ticket = local_.Submit(
        service, std::move(order.piece),
        {.on_inputs_taken =
             [this, guest_id, ticket] {
               const auto it = guests_.find(guest_id);
               if (it == guests_.end()) return;
               it->second->link->outgoing().taken.push_back(ticket);
             },
         .on_done =
             [this, guest_id, ticket, service](const PieceResult& result) {
               GuestDone(guest_id, ticket, service, result);
             }});
    guest.orders[ticket] = {service, local_ticket};
  }
  for (const uint64_t ticket : frame.cancelled) {
    const auto it = guest.orders.find(ticket);
    if (it == guest.orders.end()) continue;
    local_.Cancel(it->second.service, it->second.local_ticket);
  }
  for (peer::ReleaseOrder& release : frame.releases) {
    local_.Release(release.service, std::move(release.handles));
  }
}

void StageRouter::GuestDone(uint64_t guest_id, uint64_t ticket,
                            const std::string& service,
                            const PieceResult& result) {
  const auto it = guests_.find(guest_id);
  if (it != guests_.end()) {
    it->second->orders.erase(ticket);
    it->second->link->outgoing().done.push_back({ticket, result});
  } else if (result.failure == PieceFailure::kNone) {
    // Nobody is left who would use the result or release it.
    local_.Release(service, {result.handle});
  }
}

void StageRouter::OnGuestLost(uint64_t guest_id) {
  const auto it = guests_.find(guest_id);
  if (it == guests_.end()) return;
  for (const auto& [ticket, order] : it->second->orders) {
    local_.Cancel(order.service, order.local_ticket);
  }
  it->second->link->deleteLater();
  guests_.erase(it);
}

void StageRouter::Leave() {
  leaving_ = true;
  for (auto& [name, instance] : instances_) {
    if (instance.link != nullptr) instance.link->outgoing().leaving = true;
  }
  for (auto& [id, guest] : guests_) guest->link->outgoing().leaving = true;
}

}  // namespace turmeric::entry
