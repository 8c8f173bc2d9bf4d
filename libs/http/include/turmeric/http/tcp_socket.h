#pragma once

#include <QObject>
#include <QSocketNotifier>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "turmeric/http/tunnel_frames.h"

namespace turmeric::http {

/** An IPv4 address and port; its text form is "ip:port". */
struct Endpoint {
  std::string ip;
  uint16_t port = 0;
};

/** @param text "ip:port". @return the endpoint; port 0 if malformed. */
Endpoint ParseEndpoint(std::string_view text);

/** A server that is reached through a proxy. */
struct TunnelRoute {
  TunnelRoute(Endpoint proxy, std::string target)
      : proxy(std::move(proxy)), target(std::move(target)) {}

  Endpoint proxy;
  std::string target;  ///< Name of the server, known to the proxy.
};

/** Why a socket is no longer usable. */
enum class SocketEnd {
  /** The peer closed; all sent bytes were read. Through a proxy: the server
   * closed, and the proxy has stated it. */
  kOrderly,
  kReset,          ///< Reset or timed out: bytes may be missing.
  kConnectFailed,  ///< Never connected: no byte was sent.
};

/** Callbacks, called from the event loop; each may be empty. */
struct SocketEvents {
  std::function<void()> on_connected;
  std::function<void(std::string_view)> on_bytes;
  std::function<void(SocketEnd)> on_end;
  std::function<void()> on_drained;  ///< All written bytes have been sent.
};

/**
 * A non-blocking TCP connection on Qt's event loop. Unlike QTcpSocket, which
 * reports a connection reset as an orderly close, it distinguishes the two;
 * otherwise a truncated body that is delimited by the end of the connection
 * would appear complete. It also sets TCP_USER_TIMEOUT and keep-alive probes
 * before the first byte, so that an unreachable peer ends the connection.
 * Event-loop thread only.
 */
class TcpSocket : public QObject {
 public:
  /**
   * Starts a connection.
   * @param peer remote address. @param connect_timeout timeout of the TCP
   * handshake.
   * @param parent Qt owner.
   */
  TcpSocket(const Endpoint& peer, std::chrono::milliseconds connect_timeout,
            QObject* parent);
  /**
   * Starts a connection through a proxy. The socket is connected once the proxy
   * has connected to the server.
   * @param route the proxy and the server. @param connect_timeout timeout until
   * then.
   * @param parent Qt owner.
   */
  TcpSocket(const TunnelRoute& route, std::chrono::milliseconds connect_timeout,
            QObject* parent);
  /** @param fd connected non-blocking socket; owned. @param parent Qt owner. */
  TcpSocket(int fd, QObject* parent);
  ~TcpSocket() override;

  /** @param events the callbacks. */
  void set_events(SocketEvents events) { events_ = std::move(events); }
  /** Sends bytes, and buffers those that the system does not accept yet.
   * @param bytes the bytes. */
  void Write(std::string_view bytes);
  /** @return bytes buffered by Write and not yet handed to the system. */
  size_t unsent() const { return send_buffer_.size() - send_offset_; }
  /** @return bytes handed to the system so far. */
  uint64_t sent() const { return sent_; }
  /** @return bytes written that have not been acknowledged by TCP. */
  size_t unacknowledged() const;
  /** @param paused true: stop reading, which slows the peer by flow control. */
  void PauseReading(bool paused);
  /** @param bytes most bytes that are read at once; nullopt: no limit of this
   * connection. */
  void set_max_read(std::optional<size_t> bytes) { max_read_ = bytes; }
  /** Reads once, as the event loop does for a readable socket. */
  void ReadNow() { OnReadable(); }
  /** Closes once all written bytes have been sent and the peer has closed, or
   * after a timeout, and deletes this object; no more callbacks.
   * @param max_discarded received bytes that are read and thrown away, beyond
   * the timeout too, so that a peer that still sends can read what was written.
   */
  void CloseAfterFlush(size_t max_discarded = 0);
  /** Closes at once and deletes this object; no more callbacks. Bytes received
   * later are answered with a reset, unread. The caller makes sure that no
   * written bytes are unacknowledged, as a reset would discard them. */
  void CloseNow();
  /** Closes with a reset, so that an open response appears truncated; no more
   * callbacks. */
  void Abort();
  /** @return true while bytes can be sent and received. */
  bool open() const { return fd_ >= 0 && connected_ && !closing_; }
  /** @return true once the connection was established. */
  bool connected() const { return connected_; }
  /** @return true if the peer's host refused or reset the connect attempt; with
   * a proxy: if the server's host refused that of the proxy. */
  bool connection_refused() const { return connection_refused_; }
  /** @return true if a proxy answered that it cannot connect to the server. */
  bool proxy_answered() const { return proxy_answered_; }

 private:
  void Connect(const Endpoint& peer, std::chrono::milliseconds timeout);
  void RequestTunnel();
  void OnTunnelAnswer(std::string_view bytes);
  /** Passes received bytes of the server on. */
  void Deliver(std::string_view bytes);
  void EnableNotifiers();
  void OnReadable();
  void OnWritable();
  void FinishConnect();
  void OnConnected();
  void RecordConnectError(int error);
  bool Flush();
  void ClearSendBuffer();
  void WaitForFlush();
  void FinishClose();
  /** Closes after the close timeout, unless the peer still sends and may. */
  void WaitForPeer(std::chrono::steady_clock::time_point until);
  void End(SocketEnd end);
  void CloseFd();

  int fd_ = -1;
  bool connected_ = false;
  bool connection_refused_ = false;
  bool proxy_answered_ = false;
  std::string tunnel_target_;  ///< Empty: no proxy.
  std::string tunnel_answer_;  ///< Received part of the proxy's answer.
  bool tunnel_requested_ = false;
  std::optional<TunnelFrameReader> tunnel_frames_;  ///< If framed.
  std::optional<size_t> max_read_;
  bool closing_ = false;
  bool logged_late_bytes_ = false;
  size_t max_discarded_ = 0;
  size_t discarded_ = 0;  ///< Bytes received while closing.
  std::string send_buffer_;
  size_t send_offset_ = 0;
  uint64_t sent_ = 0;
  SocketEvents events_;
  std::unique_ptr<QSocketNotifier> read_notifier_;
  std::unique_ptr<QSocketNotifier> write_notifier_;
};

}  // namespace turmeric::http
