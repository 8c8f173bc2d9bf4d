#include "details/reach_check.h"

#include <algorithm>
#include <utility>

#include "turmeric/http/tcp_socket.h"

namespace turmeric::entry {

using http::TcpSocket;
using std::chrono::milliseconds;

namespace {

/** Timeout of a direct connection. */
constexpr milliseconds kDirectTimeout{350};
/** A second connection is tried after this time, because a lost packet of the
 * first would be sent again only after the timeout. */
constexpr milliseconds kSecondAttempt{150};
/** Timeout of a connection through a peer, which needs up to
 * kDirectTimeout to find that it does not reach the upstream either. */
constexpr milliseconds kPeerTimeout{500};
/** Peers asked at a time: several may be partitioned, too. */
constexpr size_t kPeersAtATime = 3;

}  // namespace

ReachCheck::ReachCheck(routing::UpstreamPtr upstream,
                       std::vector<TunnelPeer> peers, Callback done)
    : upstream_(std::move(upstream)),
      peers_(std::move(peers)),
      done_(std::move(done)) {
  Connect(kDirectTimeout);
  second_attempt_.setSingleShot(true);
  connect(&second_attempt_, &QTimer::timeout, this,
          [this] { Connect(kDirectTimeout - kSecondAttempt); });
  second_attempt_.start(kSecondAttempt);
}

ReachCheck::~ReachCheck() = default;

void ReachCheck::Connect(milliseconds timeout) {
  ++open_;
  auto* socket = new TcpSocket(http::ParseEndpoint(upstream_->entry.address),
                               timeout, this);
  socket->set_events(
      {.on_connected =
           [this] {
             finding_.result.connected = true;
             Complete();
           },
       .on_bytes = {},
       .on_end = [this, socket](http::SocketEnd) { OnDirectEnd(*socket); },
       .on_drained = {}});
}

void ReachCheck::OnDirectEnd(const TcpSocket& socket) {
  --open_;
  finding_.result.refused |= socket.connection_refused();
  if (finding_.result.refused) second_attempt_.stop();
  if (open_ > 0 || second_attempt_.isActive() || finding_.result.peers_asked) {
    return;
  }
  AskPeers();
}

void ReachCheck::AskPeers() {
  if (asked_ == peers_.size()) return Complete();
  finding_.result.peers_asked = true;
  const size_t end = std::min(peers_.size(), asked_ + kPeersAtATime);
  open_ = static_cast<int>(end - asked_);
  while (asked_ < end) AskPeer(peers_[asked_++]);
}

void ReachCheck::AskPeer(const TunnelPeer& peer) {
  auto* socket = new TcpSocket(
      http::TunnelRoute{peer.address, upstream_->entry.id}, kPeerTimeout, this);
  socket->set_events(
      {.on_connected =
           [this, name = peer.name] {
             finding_.result.connected_peer = name;
             Complete();
           },
       .on_bytes = {},
       .on_end = [this, socket](http::SocketEnd) { OnPeerEnd(*socket); },
       .on_drained = {}});
}

void ReachCheck::OnPeerEnd(const TcpSocket& socket) {
  finding_.peer_refused |= socket.connection_refused();
  if (--open_ == 0) AskPeers();
}

void ReachCheck::Complete() {
  auto done = std::exchange(done_, nullptr);
  if (!done) return;
  second_attempt_.stop();
  const QObjectList sockets = children();
  for (QObject* child : sockets) {
    if (auto* socket = dynamic_cast<TcpSocket*>(child)) socket->Abort();
  }
  done(finding_);
}

}  // namespace turmeric::entry
