#include "turmeric/entry/peer_server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "turmeric/entry/placement_coordinator.h"
#include "turmeric/entry/revision_gossip.h"
#include "turmeric/entry/stage_dispatcher.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using stages::Clock;
using stages::PieceFailure;
using stages::PieceResult;
using std::chrono::milliseconds;

namespace {

/** An instance whose connection broke is back by then, or has gone. */
constexpr milliseconds kAbsentFor{1000};
/** A result has reached its guest by then: an event loop with a small processor
 * quota may pause for a tenth of a second. */
constexpr milliseconds kResultTravels{100};

/** @return the instance's name in an identity "name#start". */
std::string NameOf(const std::string& identity) {
  return identity.substr(0, identity.rfind('#'));
}

}  // namespace

/** One start of another instance, and its pieces here. */
struct PieceHost::Guest {
  peer::PeerLink* link = nullptr;
  Clock::time_point absent_since;
  struct Order {
    std::string service;
    uint64_t local_ticket = 0;
    bool cancelled = false;
  };
  std::unordered_map<uint64_t, Order> orders;  ///< By the guest's ticket.
  /** Results told; a frame may have been lost with its connection. */
  struct Told {
    std::string service;
    PieceResult result;
    Clock::time_point at;
  };
  std::unordered_map<uint64_t, Told> told;
};

PieceHost::PieceHost(StageDispatcher& local, PlacementDesk& desk,
                     RevisionGossip& news, SeenCallback on_seen)
    : local_(local), desk_(desk), news_(news), on_seen_(std::move(on_seen)) {
  drop_absent_.setInterval(kAbsentFor);
  connect(&drop_absent_, &QTimer::timeout, this, [this] { DropAbsent(); });
  drop_absent_.start();
}

PieceHost::~PieceHost() = default;

utils::Result<void> PieceHost::Listen(const std::string& address) {
  listener_ = std::make_unique<http::Listener>([this](int fd) { Accept(fd); });
  return listener_->Listen(http::ParseEndpoint(address));
}

void PieceHost::Accept(int fd) {
  // The callbacks need the link itself, which exists only after them.
  auto self = std::make_shared<peer::PeerLink*>(nullptr);
  auto* link = new peer::PeerLink(
      fd,
      {.on_frame =
           [this, self](peer::Frame&& frame) {
             OnFrame(*self, std::move(frame));
           },
       .on_flush =
           [this](peer::Frame& frame) {
             AddBacklogs(frame);
             news_.AddTo(frame);
           },
       .on_end = [this, self](std::string_view) { OnLost(*self); }},
      this);
  *self = link;
  if (leaving_) link->outgoing().leaving = true;
}

void PieceHost::AddBacklogs(peer::Frame& frame) const {
  for (const auto& [service, calls] : local_.Backlogs()) {
    frame.backlogs.push_back({service, calls});
  }
}

PieceHost::Guest& PieceHost::GuestOf(peer::PeerLink* link,
                                     const std::string& identity) {
  // A link may have been accepted before Leave and named its guest after it.
  const bool is_new = identity_of_.insert_or_assign(link, identity).second;
  if (is_new && leaving_) link->outgoing().leaving = true;
  if (is_new && on_guest_) on_guest_(link->outgoing());
  auto& guest = guests_[identity];
  if (!guest) guest = std::make_unique<Guest>();
  if (guest->link != nullptr && guest->link != link) {
    identity_of_.erase(guest->link);
    guest->link->Close();
    guest->link->deleteLater();
  }
  guest->link = link;
  return *guest;
}

void PieceHost::OnFrame(peer::PeerLink* link, peer::Frame&& frame) {
  const std::string identity =
      frame.sender.empty() ? identity_of_[link] : frame.sender;
  if (identity.empty()) return;
  news_.ReadFrom(frame, Clock::now());
  Guest& guest = GuestOf(link, identity);
  if (!frame.sender.empty() || frame.leaving) {
    on_seen_(NameOf(identity),
             frame.leaving ? Presence::kLeaving : Presence::kConnected);
  }
  if (frame.follow && on_follow_) on_follow_(identity, *frame.follow);
  if (on_frame_) on_frame_(identity, frame);
  Place(identity, frame, guest);
  for (peer::PieceOrder& order : frame.pieces) {
    Take(identity, guest, std::move(order));
  }
  for (const uint64_t ticket : frame.cancelled) CancelOrder(guest, ticket);
  for (peer::ReleaseOrder& release : frame.releases) {
    local_.Release(release.service, std::move(release.handles));
  }
}

void PieceHost::Place(const std::string& identity, const peer::Frame& frame,
                      Guest& guest) {
  const auto now = Clock::now();
  for (const peer::PlacementOrder& order : frame.placements) {
    const routing::UpstreamPtr engine = desk_.Place(identity, order, now);
    guest.link->outgoing().placed.push_back(
        {order.ticket, engine ? engine->entry.id : std::string()});
  }
  for (const uint64_t ticket : frame.prompts_read) {
    desk_.PromptRead(identity, ticket);
  }
  for (const peer::PlacementEnd& end : frame.ended) {
    desk_.End(identity, end);
  }
}

void PieceHost::Take(const std::string& identity, Guest& guest,
                     peer::PieceOrder&& order) {
  const uint64_t ticket = order.ticket;
  // Sent again after a broken connection: it waits here, or is done.
  if (guest.orders.contains(ticket)) return;
  if (const auto told = guest.told.find(ticket); told != guest.told.end()) {
    guest.link->outgoing().done.push_back({ticket, told->second.result});
    return;
  }
  const std::string service = order.service;
  const uint64_t local_ticket = local_.Submit(
      service, std::move(order.piece),
      {.on_inputs_taken =
           [this, identity, ticket] {
             const auto it = guests_.find(identity);
             if (it == guests_.end() || it->second->link == nullptr) return;
             it->second->link->outgoing().taken.push_back(ticket);
           },
       .on_done =
           [this, identity, ticket, service](const PieceResult& result) {
             OnDone(identity, ticket, service, result);
           }});
  guest.orders[ticket] = {service, local_ticket, false};
}

void PieceHost::CancelOrder(Guest& guest, uint64_t ticket) {
  const auto it = guest.orders.find(ticket);
  if (it == guest.orders.end()) {
    // Its result crossed the cancellation; nobody else will release it.
    const auto told = guest.told.find(ticket);
    if (told == guest.told.end()) return;
    if (told->second.result.failure == PieceFailure::kNone) {
      local_.Release(told->second.service, {told->second.result.handle});
    }
    guest.told.erase(told);
    return;
  }
  if (local_.Cancel(it->second.service, it->second.local_ticket)) {
    guest.orders.erase(it);
  } else {
    it->second.cancelled = true;
  }
}

void PieceHost::OnDone(const std::string& identity, uint64_t ticket,
                       const std::string& service, const PieceResult& result) {
  const auto it = guests_.find(identity);
  const bool wanted = it != guests_.end() &&
                      it->second->orders.contains(ticket) &&
                      !it->second->orders[ticket].cancelled;
  if (it != guests_.end()) it->second->orders.erase(ticket);
  if (!wanted) {
    // Nobody is left who would use the result or release it.
    if (result.failure == PieceFailure::kNone) {
      local_.Release(service, {result.handle});
    }
    return;
  }
  Guest& guest = *it->second;
  guest.told[ticket] = {service, result, Clock::now()};
  if (guest.link != nullptr) {
    guest.link->outgoing().done.push_back({ticket, result});
  }
}

void PieceHost::OnLost(peer::PeerLink* link) {
  const std::string identity = identity_of_[link];
  identity_of_.erase(link);
  link->deleteLater();
  const auto it = guests_.find(identity);
  if (it == guests_.end() || it->second->link != link) return;
  it->second->link = nullptr;
  it->second->absent_since = Clock::now();
  on_seen_(NameOf(identity), Presence::kDisconnected);
}

peer::Frame* PieceHost::FrameTo(const std::string& identity) {
  const auto it = guests_.find(identity);
  if (it == guests_.end() || it->second->link == nullptr) return nullptr;
  return &it->second->link->outgoing();
}

void PieceHost::DropAbsent() {
  const auto now = Clock::now();
  desk_.Expire(now);
  std::vector<std::string> gone;
  for (const auto& [identity, guest] : guests_) {
    std::erase_if(guest->told, [&](const auto& told) {
      return now - told.second.at > kAbsentFor;
    });
    if (guest->link == nullptr && now - guest->absent_since > kAbsentFor) {
      gone.push_back(identity);
    }
  }
  for (const std::string& identity : gone) {
    const auto guest = std::move(guests_[identity]);
    guests_.erase(identity);
    desk_.Forget(identity);
    utils::DecisionLog("guest_dropped")
        .Add("peer", identity)
        .Add("pieces", guest->orders.size());
    for (const auto& [ticket, order] : guest->orders) {
      local_.Cancel(order.service, order.local_ticket);
    }
  }
}

bool PieceHost::busy(Clock::time_point now) const {
  return std::ranges::any_of(guests_, [now](const auto& entry) {
    const Guest& guest = *entry.second;
    const auto is_wanted = [](const auto& order) {
      return !order.second.cancelled;
    };
    const auto may_be_travelling = [now](const auto& told) {
      return now - told.second.at < kResultTravels;
    };
    return guest.link != nullptr &&
           (std::ranges::any_of(guest.orders, is_wanted) ||
            std::ranges::any_of(guest.told, may_be_travelling));
  });
}

void PieceHost::Leave() {
  leaving_ = true;
  for (const auto& [link, identity] : identity_of_) {
    link->outgoing().leaving = true;
  }
}

}  // namespace turmeric::entry
