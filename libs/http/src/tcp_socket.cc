#include "turmeric/http/tcp_socket.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QPointer>
#include <QTimer>
#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <utility>

#include "turmeric/http/tunnel.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::http {

namespace {

/** Time after which unacknowledged bytes end a connection. It allows for three
 * retransmissions on a lossy link and is shorter than the 3 s within which a
 * machine is expected to recover. */
constexpr int kUserTimeoutMs = 2500;
/** Keep-alive probes: idle time before the first, interval and number. */
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 2;
/** Longest wait for the peer to close, or to send more, after this side has
 * closed. */
constexpr std::chrono::milliseconds kCloseTimeout{1000};
/** Longest wait for a peer that still sends. */
constexpr std::chrono::seconds kLongestClose{10};
/** Size of the read buffer; it holds a few large prompts. */
constexpr size_t kReadBufferBytes = 32 * 1024;
/** Capacity of the send buffer that a socket keeps when all bytes have been
 * sent. */
constexpr size_t kKeptSendBufferBytes = 16 * 1024;

void SetOption(int fd, int level, int name, int value) {
  ::setsockopt(fd, level, name, &value, sizeof(value));
}

void SetSocketOptions(int fd) {
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleS);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalS);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

}  // namespace

Endpoint ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return {};
  Endpoint endpoint{std::string(text.substr(0, colon)), 0};
  const std::string_view port = text.substr(colon + 1);
  std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
  return endpoint;
}

TcpSocket::TcpSocket(const Endpoint& peer,
                     std::chrono::milliseconds connect_timeout, QObject* parent)
    : QObject(parent) {
  Connect(peer, connect_timeout);
}

TcpSocket::TcpSocket(const TunnelRoute& route,
                     std::chrono::milliseconds connect_timeout, QObject* parent)
    : QObject(parent), tunnel_target_(route.target) {
  Connect(route.proxy, connect_timeout);
}

void TcpSocket::Connect(const Endpoint& peer,
                        std::chrono::milliseconds timeout) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(peer.port);
  const bool parsed =
      ::inet_pton(AF_INET, peer.ip.c_str(), &address.sin_addr) == 1;
  fd_ = parsed
            ? ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)
            : -1;
  if (fd_ >= 0) {
    SetSocketOptions(fd_);
    const int rc =
        ::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    if (rc != 0 && errno != EINPROGRESS) {
      RecordConnectError(errno);
      CloseFd();
    }
  }
  if (fd_ < 0) {
    QTimer::singleShot(0, this, [this] { End(SocketEnd::kConnectFailed); });
    return;
  }
  write_notifier_ =
      std::make_unique<QSocketNotifier>(fd_, QSocketNotifier::Write);
  connect(write_notifier_.get(), &QSocketNotifier::activated, this,
          [this] { OnWritable(); });
  QTimer::singleShot(timeout, this, [this] {
    if (!connected_ && fd_ >= 0) End(SocketEnd::kConnectFailed);
  });
}

TcpSocket::TcpSocket(int fd, QObject* parent)
    : QObject(parent), fd_(fd), connected_(true) {
  SetSocketOptions(fd_);
  EnableNotifiers();
}

TcpSocket::~TcpSocket() { CloseFd(); }

void TcpSocket::EnableNotifiers() {
  read_notifier_ =
      std::make_unique<QSocketNotifier>(fd_, QSocketNotifier::Read);
  connect(read_notifier_.get(), &QSocketNotifier::activated, this,
          [this] { OnReadable(); });
  if (!write_notifier_) {
    write_notifier_ =
        std::make_unique<QSocketNotifier>(fd_, QSocketNotifier::Write);
    connect(write_notifier_.get(), &QSocketNotifier::activated, this,
            [this] { OnWritable(); });
  }
  write_notifier_->setEnabled(unsent() > 0);
}

void TcpSocket::RecordConnectError(int error) {
  connection_refused_ = error == ECONNREFUSED || error == ECONNRESET;
}

void TcpSocket::FinishConnect() {
  int error = 0;
  socklen_t size = sizeof(error);
  ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    RecordConnectError(error);
    return End(SocketEnd::kConnectFailed);
  }
  EnableNotifiers();
  if (!tunnel_target_.empty()) return RequestTunnel();
  OnConnected();
}

void TcpSocket::RequestTunnel() {
  tunnel_requested_ = true;
  write_notifier_->setEnabled(false);
  // The empty send buffer of a new connection takes the short request whole.
  const std::string request = EncodeTunnelRequest(tunnel_target_);
  const ssize_t sent =
      ::send(fd_, request.data(), request.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent != static_cast<ssize_t>(request.size())) {
    End(SocketEnd::kConnectFailed);
  }
}

void TcpSocket::OnTunnelAnswer(std::string_view bytes) {
  tunnel_answer_.append(bytes);
  const auto head = ParseTunnelHead(tunnel_answer_);
  if (!head) {
    if (tunnel_answer_.size() > kMaxTunnelHeadBytes) {
      End(SocketEnd::kConnectFailed);
    }
    return;
  }
  const auto status = static_cast<TunnelStatus>(head->status);
  if (status != TunnelStatus::kOpen) {
    proxy_answered_ = head->status != 0;
    connection_refused_ = status == TunnelStatus::kRefused;
    return End(SocketEnd::kConnectFailed);
  }
  const std::string rest = tunnel_answer_.substr(head->bytes);
  tunnel_answer_.clear();
  if (head->framing == TunnelFraming::kLength) tunnel_frames_.emplace();
  OnConnected();
  if (fd_ >= 0 && !rest.empty()) Deliver(rest);
}

void TcpSocket::Deliver(std::string_view bytes) {
  if (!tunnel_frames_) {
    if (events_.on_bytes) events_.on_bytes(bytes);
    return;
  }
  std::string payload;
  const TunnelFrameStatus status = tunnel_frames_->Read(bytes, payload);
  const QPointer<TcpSocket> self(this);
  if (!payload.empty() && events_.on_bytes) events_.on_bytes(payload);
  // The callback may have deleted or closed the socket.
  if (!self || closing_ || status == TunnelFrameStatus::kOpen) return;
  End(status == TunnelFrameStatus::kEnded ? SocketEnd::kOrderly
                                          : SocketEnd::kReset);
}

void TcpSocket::OnConnected() {
  connected_ = true;
  if (events_.on_connected) events_.on_connected();
  if (fd_ >= 0 && unsent() > 0) OnWritable();
}

void TcpSocket::OnWritable() {
  if (fd_ < 0) return;
  if (tunnel_requested_ && !connected_) {
    return write_notifier_->setEnabled(false);
  }
  if (!connected_) return FinishConnect();
  if (!Flush()) return;
  if (unsent() > 0) return write_notifier_->setEnabled(true);
  write_notifier_->setEnabled(false);
  if (closing_) {
    utils::DecisionLog("close_flushed");
    return FinishClose();
  }
  if (events_.on_drained) events_.on_drained();
}

bool TcpSocket::Flush() {
  while (unsent() > 0) {
    const ssize_t sent = ::send(fd_, send_buffer_.data() + send_offset_,
                                unsent(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    if (sent < 0) {
      End(SocketEnd::kReset);
      return false;
    }
    send_offset_ += static_cast<size_t>(sent);
    sent_ += static_cast<uint64_t>(sent);
  }
  if (unsent() == 0) ClearSendBuffer();
  return true;
}

void TcpSocket::Write(std::string_view bytes) {
  if (fd_ < 0 || closing_) return;
  const bool was_empty = unsent() == 0;
  send_buffer_.append(bytes);
  if (!connected_ || !was_empty) return;
  // Bytes that the system does not accept now are sent from the event loop. A
  // failed send is not reported here: the callback must not run inside Write.
  const ssize_t sent = ::send(fd_, send_buffer_.data() + send_offset_, unsent(),
                              MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent > 0) {
    send_offset_ += static_cast<size_t>(sent);
    sent_ += static_cast<uint64_t>(sent);
  }
  if (unsent() == 0) return ClearSendBuffer();
  write_notifier_->setEnabled(true);
}

void TcpSocket::ClearSendBuffer() {
  send_offset_ = 0;
  send_buffer_.clear();
  if (send_buffer_.capacity() > kKeptSendBufferBytes) {
    send_buffer_.shrink_to_fit();
  }
}

void TcpSocket::OnReadable() {
  if (fd_ < 0) return;
  static thread_local std::array<char, kReadBufferBytes> buffer;
  const size_t size =
      std::min(max_read_.value_or(buffer.size()), buffer.size());
  const ssize_t got = ::recv(fd_, buffer.data(), size, MSG_DONTWAIT);
  if (got > 0) {
    if (!connected_) {
      OnTunnelAnswer({buffer.data(), static_cast<size_t>(got)});
    } else if (closing_) {
      discarded_ += static_cast<size_t>(got);
      if (!std::exchange(logged_late_bytes_, true)) {
        utils::DecisionLog("bytes_after_close").Add("bytes", got);
      }
    } else {
      Deliver({buffer.data(), static_cast<size_t>(got)});
    }
    return;
  }
  if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
    return;
  }
  if (!connected_) return End(SocketEnd::kConnectFailed);
  // Guard: the system closes the connections of a proxy that was killed in the
  // orderly way, too, so through a proxy only an empty frame is the server's
  // end.
  const bool is_orderly = got == 0 && tunnel_target_.empty();
  End(is_orderly ? SocketEnd::kOrderly : SocketEnd::kReset);
}

size_t TcpSocket::unacknowledged() const {
  int held = 0;
  // If the system cannot report its queue, the queue is taken to be empty.
  if (fd_ < 0 || ::ioctl(fd_, SIOCOUTQ, &held) != 0) held = 0;
  return unsent() + static_cast<size_t>(held);
}

void TcpSocket::PauseReading(bool paused) {
  if (read_notifier_ && fd_ >= 0) read_notifier_->setEnabled(!paused);
}

void TcpSocket::End(SocketEnd end) {
  CloseFd();
  if (closing_) {
    deleteLater();
    return;
  }
  closing_ = true;
  if (auto callback = std::exchange(events_.on_end, nullptr)) callback(end);
}

void TcpSocket::CloseAfterFlush(size_t max_discarded) {
  if (fd_ < 0 || closing_) return;
  closing_ = true;
  max_discarded_ = max_discarded;
  // The socket has no parent from here on, because its owner may be destroyed
  // before the last bytes are sent. The callbacks are kept until the socket is
  // deleted, because one of them may be the caller of this function.
  setParent(nullptr);
  if (unsent() == 0) return FinishClose();
  utils::DecisionLog("close_waits").Add("unsent", unsent());
  WaitForFlush();
}

void TcpSocket::WaitForFlush() {
  // Guard: a response that the peer reads slowly must not be truncated. The
  // socket is closed only if no bytes were sent during the timeout.
  QTimer::singleShot(kUserTimeoutMs, this, [this, before = unsent()] {
    if (unsent() == 0) return;
    if (unsent() < before) return WaitForFlush();
    utils::DecisionLog("close_gave_up").Add("unsent", unsent());
    CloseNow();
  });
}

void TcpSocket::FinishClose() {
  // Guard: closing a socket with unread bytes resets the connection, and the
  // peer may then lose the response just written. The write side is shut down
  // first; the socket is closed when the peer has closed or after
  // kCloseTimeout.
  if (fd_ >= 0) ::shutdown(fd_, SHUT_WR);
  WaitForPeer(std::chrono::steady_clock::now() + kLongestClose);
}

void TcpSocket::WaitForPeer(std::chrono::steady_clock::time_point until) {
  QTimer::singleShot(kCloseTimeout, this, [this, until, before = discarded_] {
    const bool sends = discarded_ > before && discarded_ <= max_discarded_;
    if (sends && std::chrono::steady_clock::now() < until) {
      return WaitForPeer(until);
    }
    CloseNow();
  });
}

void TcpSocket::CloseNow() {
  closing_ = true;
  CloseFd();
  deleteLater();
}

void TcpSocket::Abort() {
  closing_ = true;
  if (fd_ >= 0) {
    const linger reset{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
  CloseFd();
}

void TcpSocket::CloseFd() {
  if (read_notifier_) read_notifier_->setEnabled(false);
  if (write_notifier_) write_notifier_->setEnabled(false);
  if (read_notifier_) read_notifier_.release()->deleteLater();
  if (write_notifier_) write_notifier_.release()->deleteLater();
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

}  // namespace turmeric::http
