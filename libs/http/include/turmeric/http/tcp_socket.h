#pragma once

#include <QObject>
#include <QSocketNotifier>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace turmeric::http {

/** An IPv4 address and port, "ip:port" in text. */
struct Endpoint {
  std::string ip;
  uint16_t port = 0;
};

/** @param text "ip:port". @return it decoded; port 0 if malformed. */
Endpoint ParseEndpoint(std::string_view text);

/** Why a socket is no longer usable. */
enum class SocketEnd {
  kOrderly,        ///< The peer closed; all it sent has been read.
  kReset,          ///< Reset, or silent beyond the timeouts: bytes may lack.
  kConnectFailed,  ///< Never connected: nothing has left us.
};

/** Called from the event loop; each may be empty. */
struct SocketEvents {
  std::function<void()> on_connected;
  std::function<void(std::string_view)> on_bytes;
  std::function<void(SocketEnd)> on_end;
  std::function<void()> on_drained;  ///< All written bytes have left us.
};

/**
 * A non-blocking TCP connection on Qt's event loop. Qt's own QTcpSocket
 * reports a reset as an orderly close, and a body that ends with its
 * connection would then look complete; this one tells them apart. It also
 * sets TCP_USER_TIMEOUT and keep-alive probes before the first byte, so that
 * a peer gone silent ends the socket. Event-loop thread only.
 */
class TcpSocket : public QObject {
 public:
  /**
   * Starts a connection.
   * @param peer where to. @param connect_timeout for the handshake, ms.
   * @param parent Qt owner.
   */
  TcpSocket(const Endpoint& peer, std::chrono::milliseconds connect_timeout,
            QObject* parent);
  /** @param fd a connected, non-blocking socket; owned. @param parent owner. */
  TcpSocket(int fd, QObject* parent);
  ~TcpSocket() override;

  /** @param events the callbacks. */
  void set_events(SocketEvents events) { events_ = std::move(events); }
  /** @param bytes queued, sent as the peer reads. */
  void Write(std::string_view bytes);
  /** @return bytes accepted by Write and not yet handed to the system. */
  size_t unsent() const { return out_.size() - out_at_; }
  /** @return bytes written that the peer's system has not acknowledged. */
  size_t unacknowledged() const;
  /** @param paused true: stop reading, so that the peer is held back. */
  void PauseReading(bool paused);
  /** Reads once, as the event loop would if something has come. */
  void ReadNow() { OnReadable(); }
  /** Closes once all written bytes have left and the peer has closed, and
   * deletes itself; no more callbacks. */
  void CloseAfterFlush();
  /** Closes at once and deletes itself; what comes later is reset, unread. No
   * more callbacks. For a connection with nothing unacknowledged. */
  void CloseNow();
  /** Closes with a reset, so that an open answer looks cut; no callbacks. */
  void Abort();
  /** @return true while bytes can go either way. */
  bool open() const { return fd_ >= 0 && connected_ && !closing_; }
  /** @return true once the connection was established. */
  bool connected() const { return connected_; }
  /** @return true if the peer's machine answered that nobody listens there. */
  bool refused() const { return refused_; }

 private:
  void Arm();
  void OnReadable();
  void OnWritable();
  void FinishConnect();
  void NoteConnectError(int error);
  bool Flush();
  void WaitForFlush();
  void FinishClose();
  void End(SocketEnd end);
  void CloseFd();

  int fd_ = -1;
  bool connected_ = false;
  bool refused_ = false;
  bool closing_ = false;
  std::string out_;
  size_t out_at_ = 0;
  SocketEvents events_;
  std::unique_ptr<QSocketNotifier> reads_;
  std::unique_ptr<QSocketNotifier> writes_;
};

}  // namespace turmeric::http
