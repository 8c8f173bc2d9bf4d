#include "turmeric/entry/peer_server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "turmeric/entry/placement_coordinator.h"
#include "turmeric/entry/revision_gossip.h"
#include "turmeric/entry/stage_dispatcher.h"
#include "turmeric/peer/instance_identity.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using stages::Clock;
using stages::PieceFailure;
using stages::PieceResult;
using std::chrono::milliseconds;

namespace {

/**
 * An instance that has not reconnected within this time is assumed to have
 * ended.
 */
constexpr milliseconds kReconnectGrace{1000};
/**
 * Time within which a sent result has reached its receiver: with a small CPU
 * quota, an event loop may pause for a tenth of a second.
 */
constexpr milliseconds kResultDeliveryTime{100};

}  // namespace

/** One process start of another instance, and its pieces at this instance. */
struct PeerServer::PeerState {
  peer::PeerLink* link = nullptr;
  Clock::time_point disconnected_at;
  struct Order {
    std::string service;
    uint64_t local_ticket = 0;
    bool cancelled = false;
  };
  /** By the peer instance's ticket. */
  std::unordered_map<uint64_t, Order> orders;
  /**
   * A result that was sent. It is kept for a while, because its frame may be
   * lost if the connection breaks.
   */
  struct SentResult {
    std::string service;
    PieceResult result;
    Clock::time_point at;
  };
  /** By the peer instance's ticket. */
  std::unordered_map<uint64_t, SentResult> sent;
};

PeerServer::PeerServer(StageDispatcher& local,
                       PlacementCoordinator& coordinator,
                       RevisionGossip& revision_gossip,
                       PresenceCallback on_presence)
    : local_(local),
      coordinator_(coordinator),
      revision_gossip_(revision_gossip),
      on_presence_(std::move(on_presence)) {
  drop_timer_.setInterval(kReconnectGrace);
  connect(&drop_timer_, &QTimer::timeout, this, [this] { DropDisconnected(); });
  drop_timer_.start();
}

PeerServer::~PeerServer() = default;

utils::Result<void> PeerServer::Listen(const std::string& address) {
  listener_ = std::make_unique<http::Listener>([this](int fd) { Accept(fd); });
  return listener_->Listen(http::ParseEndpoint(address));
}

void PeerServer::Accept(int fd) {
  // The callbacks need the link, which is constructed after them.
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
             revision_gossip_.AddTo(frame);
           },
       .on_end = [this, self](std::string_view) { OnLost(*self); }},
      this);
  *self = link;
  if (leaving_) link->outgoing().leaving = true;
}

void PeerServer::AddBacklogs(peer::Frame& frame) const {
  for (const auto& [service, calls] : local_.Backlogs()) {
    frame.backlogs.push_back({service, calls});
  }
}

PeerServer::PeerState& PeerServer::PeerStateOf(peer::PeerLink* link,
                                               const std::string& identity) {
  // A link may have been accepted before Leave and its identity received only
  // after.
  const bool is_new = identity_of_.insert_or_assign(link, identity).second;
  if (is_new && leaving_) link->outgoing().leaving = true;
  if (is_new && on_new_peer_) on_new_peer_(link->outgoing());
  auto& peer_state = peers_[identity];
  if (!peer_state) peer_state = std::make_unique<PeerState>();
  if (peer_state->link != nullptr && peer_state->link != link) {
    identity_of_.erase(peer_state->link);
    peer_state->link->Close();
    peer_state->link->deleteLater();
  }
  peer_state->link = link;
  return *peer_state;
}

void PeerServer::OnFrame(peer::PeerLink* link, peer::Frame&& frame) {
  const std::string identity =
      frame.sender.empty() ? identity_of_[link] : frame.sender;
  if (identity.empty()) return;
  revision_gossip_.ReadFrom(frame, Clock::now());
  PeerState& peer_state = PeerStateOf(link, identity);
  if (!frame.sender.empty() || frame.leaving) {
    on_presence_(peer::InstanceName(identity),
                 frame.leaving ? Presence::kLeaving : Presence::kConnected);
  }
  if (frame.follow && on_follow_) on_follow_(identity, *frame.follow);
  if (on_frame_) on_frame_(identity, frame);
  HandlePlacements(identity, frame, peer_state);
  for (peer::PieceOrder& order : frame.pieces) {
    AcceptPiece(identity, peer_state, std::move(order));
  }
  for (const uint64_t ticket : frame.cancelled) CancelPiece(peer_state, ticket);
  for (peer::ReleaseOrder& release : frame.releases) {
    local_.Release(release.service, std::move(release.handles));
  }
}

void PeerServer::HandlePlacements(const std::string& identity,
                                  const peer::Frame& frame,
                                  PeerState& peer_state) {
  const auto now = Clock::now();
  for (const peer::PlacementOrder& order : frame.placements) {
    const routing::UpstreamPtr engine =
        coordinator_.Place(identity, order, now);
    peer_state.link->outgoing().placed.push_back(
        {order.ticket, engine ? engine->entry.id : std::string()});
  }
  for (const uint64_t ticket : frame.prompts_read) {
    coordinator_.OnPromptRead(identity, ticket);
  }
  for (const peer::PlacementEnd& end : frame.ended) {
    coordinator_.End(identity, end);
  }
}

void PeerServer::AcceptPiece(const std::string& identity, PeerState& peer_state,
                             peer::PieceOrder&& order) {
  const uint64_t ticket = order.ticket;
  // The peer instance sends its orders again after a broken connection: the
  // piece may still be queued at this instance, or already be done.
  if (peer_state.orders.contains(ticket)) return;
  if (const auto sent = peer_state.sent.find(ticket);
      sent != peer_state.sent.end()) {
    peer_state.link->outgoing().done.push_back({ticket, sent->second.result});
    return;
  }
  const std::string service = order.service;
  const uint64_t local_ticket = local_.Submit(
      service, std::move(order.piece),
      {.on_inputs_fetched =
           [this, identity, ticket] {
             const auto it = peers_.find(identity);
             if (it == peers_.end() || it->second->link == nullptr) return;
             it->second->link->outgoing().taken.push_back(ticket);
           },
       .on_done =
           [this, identity, ticket, service](const PieceResult& result) {
             OnDone(identity, ticket, service, result);
           }});
  peer_state.orders[ticket] = {service, local_ticket, false};
}

void PeerServer::CancelPiece(PeerState& peer_state, uint64_t ticket) {
  const auto it = peer_state.orders.find(ticket);
  if (it == peer_state.orders.end()) {
    // The result crossed the cancellation on the wire; no other instance will
    // release it.
    const auto sent = peer_state.sent.find(ticket);
    if (sent == peer_state.sent.end()) return;
    if (sent->second.result.failure == PieceFailure::kNone) {
      local_.Release(sent->second.service, {sent->second.result.handle});
    }
    peer_state.sent.erase(sent);
    return;
  }
  if (local_.Cancel(it->second.service, it->second.local_ticket)) {
    peer_state.orders.erase(it);
  } else {
    it->second.cancelled = true;
  }
}

void PeerServer::OnDone(const std::string& identity, uint64_t ticket,
                        const std::string& service, const PieceResult& result) {
  const auto it = peers_.find(identity);
  const bool wanted = it != peers_.end() &&
                      it->second->orders.contains(ticket) &&
                      !it->second->orders[ticket].cancelled;
  if (it != peers_.end()) it->second->orders.erase(ticket);
  if (!wanted) {
    // The piece was cancelled or the instance that sent it has ended: release
    // its result, as no other instance will.
    if (result.failure == PieceFailure::kNone) {
      local_.Release(service, {result.handle});
    }
    return;
  }
  PeerState& peer_state = *it->second;
  peer_state.sent[ticket] = {service, result, Clock::now()};
  if (peer_state.link != nullptr) {
    peer_state.link->outgoing().done.push_back({ticket, result});
  }
}

void PeerServer::OnLost(peer::PeerLink* link) {
  const std::string identity = identity_of_[link];
  identity_of_.erase(link);
  link->deleteLater();
  const auto it = peers_.find(identity);
  if (it == peers_.end() || it->second->link != link) return;
  it->second->link = nullptr;
  it->second->disconnected_at = Clock::now();
  on_presence_(peer::InstanceName(identity), Presence::kDisconnected);
}

peer::Frame* PeerServer::FrameTo(const std::string& identity) {
  const auto it = peers_.find(identity);
  if (it == peers_.end() || it->second->link == nullptr) return nullptr;
  return &it->second->link->outgoing();
}

void PeerServer::DropDisconnected() {
  const auto now = Clock::now();
  coordinator_.Expire(now);
  std::vector<std::string> gone;
  for (const auto& [identity, peer_state] : peers_) {
    std::erase_if(peer_state->sent, [&](const auto& sent) {
      return now - sent.second.at > kReconnectGrace;
    });
    if (peer_state->link == nullptr &&
        now - peer_state->disconnected_at > kReconnectGrace) {
      gone.push_back(identity);
    }
  }
  for (const std::string& identity : gone) {
    const auto peer_state = std::move(peers_[identity]);
    peers_.erase(identity);
    coordinator_.DropInstance(identity);
    utils::DecisionLog("guest_dropped")
        .Add("peer", identity)
        .Add("pieces", peer_state->orders.size());
    for (const auto& [ticket, order] : peer_state->orders) {
      local_.Cancel(order.service, order.local_ticket);
    }
  }
}

bool PeerServer::busy(Clock::time_point now) const {
  return std::ranges::any_of(peers_, [now](const auto& entry) {
    const PeerState& peer_state = *entry.second;
    const auto is_wanted = [](const auto& order) {
      return !order.second.cancelled;
    };
    const auto may_be_in_flight = [now](const auto& sent) {
      return now - sent.second.at < kResultDeliveryTime;
    };
    return peer_state.link != nullptr &&
           (std::ranges::any_of(peer_state.orders, is_wanted) ||
            std::ranges::any_of(peer_state.sent, may_be_in_flight));
  });
}

void PeerServer::Leave() {
  leaving_ = true;
  for (const auto& [link, identity] : identity_of_) {
    link->outgoing().leaving = true;
  }
}

size_t PeerServer::buffered() const {
  size_t bytes = 0;
  for (const auto& [link, identity] : identity_of_) bytes += link->buffered();
  return bytes;
}

}  // namespace turmeric::entry
