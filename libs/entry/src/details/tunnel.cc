#include "details/tunnel.h"

#include <QTimer>
#include <chrono>
#include <utility>

#include "turmeric/http/tcp_socket.h"
#include "turmeric/http/tunnel_frames.h"

namespace turmeric::entry {

using http::SocketEnd;
using http::TcpSocket;
using http::TunnelFraming;
using http::TunnelStatus;
using std::chrono::milliseconds;

namespace {

/** Timeout of the connection to the upstream; shorter than that of the peer
 * instance, so that the peer receives an answer. */
constexpr milliseconds kConnectTimeout{350};
/** Timeout of the request. */
constexpr milliseconds kRequestTimeout{1000};
/** Unsent bytes in one direction at which reading pauses. */
constexpr size_t kMaxUnsent = 128 * 1024;

}  // namespace

Tunnel::Tunnel(int fd, TunnelServer::FindTarget find_target, QObject* parent)
    : QObject(parent),
      find_target_(std::move(find_target)),
      peer_(new TcpSocket(fd, this)) {
  peer_->set_events(
      {.on_connected = {},
       .on_bytes = [this](std::string_view bytes) { OnPeerBytes(bytes); },
       // An upstream drops a request when its connection ends.
       .on_end = [this](SocketEnd) { End(); },
       .on_drained =
           [this] {
             if (upstream_ != nullptr) upstream_->PauseReading(false);
           }});
  QTimer::singleShot(kRequestTimeout, this, [this] {
    if (upstream_ == nullptr) End();
  });
}

Tunnel::~Tunnel() = default;

void Tunnel::OnPeerBytes(std::string_view bytes) {
  if (upstream_ != nullptr) return Forward(bytes, *peer_, *upstream_);
  head_.append(bytes);
  const auto head = http::ParseTunnelHead(head_);
  if (!head) {
    if (head_.size() > http::kMaxTunnelHeadBytes) End();
    return;
  }
  if (head->target.empty()) return Refuse(TunnelStatus::kMalformed);
  target_ = head->target;
  framing_ = head->framing;
  const TunnelTarget target = find_target_(target_);
  if (target.status != TunnelStatus::kOpen) return Refuse(target.status);
  Connect(target.address);
}

void Tunnel::Connect(const http::Endpoint& address) {
  upstream_ = new TcpSocket(address, kConnectTimeout, this);
  upstream_->set_events(
      {.on_connected = [this] { OnConnected(); },
       .on_bytes = [this](std::string_view bytes) { OnUpstreamBytes(bytes); },
       .on_end = [this](SocketEnd end) { OnUpstreamEnd(end); },
       .on_drained = [this] { peer_->PauseReading(false); }});
}

void Tunnel::OnConnected() {
  peer_->Write(http::EncodeTunnelAnswer(TunnelStatus::kOpen, framing_));
}

void Tunnel::Forward(std::string_view bytes, TcpSocket& from, TcpSocket& to) {
  to.Write(bytes);
  if (to.unsent() > kMaxUnsent) from.PauseReading(true);
}

void Tunnel::OnUpstreamBytes(std::string_view bytes) {
  if (framing_ == TunnelFraming::kNone) {
    return Forward(bytes, *upstream_, *peer_);
  }
  std::string frames;
  http::AppendTunnelFrames(bytes, frames);
  Forward(frames, *upstream_, *peer_);
}

void Tunnel::OnUpstreamEnd(SocketEnd end) {
  if (end == SocketEnd::kConnectFailed) {
    return Refuse(upstream_->connection_refused() ? TunnelStatus::kRefused
                                                  : TunnelStatus::kTimeout);
  }
  if (end != SocketEnd::kOrderly) return End();
  if (framing_ == TunnelFraming::kLength) {
    std::string frame;
    http::AppendTunnelEnd(frame);
    peer_->Write(frame);
  }
  peer_->CloseAfterFlush();
  deleteLater();
}

void Tunnel::Refuse(TunnelStatus status) {
  peer_->Write(http::EncodeTunnelAnswer(status));
  peer_->CloseAfterFlush();
  deleteLater();
}

void Tunnel::End() {
  peer_->Abort();
  if (upstream_ != nullptr) upstream_->Abort();
  deleteLater();
}

}  // namespace turmeric::entry
