#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "turmeric/http/message.h"
#include "turmeric/http/message_parser.h"
#include "turmeric/http/tcp_socket.h"

namespace turmeric::http {

/** How an exchange ended without a complete response. */
enum class ExchangeFailure {
  kNotSent,    ///< Never connected: no byte of the request was sent.
  kNoAnswer,   ///< The connection ended before any byte of the response.
  kTruncated,  ///< The connection ended within the response.
  kMalformed,  ///< The received bytes are not an HTTP response.
  /** A response without an id arrived where an earlier request of the
   * connection may be the one that it answers; see ResponseBinding. */
  kUnattributed,
};

/**
 * Binds a response to its request by an id that the server echoes. A response
 * with another id is skipped. One without an id counts only as the first one of
 * its connection, which is not reused after it.
 */
struct ResponseBinding {
  std::string id;  ///< Sent with the request; empty: not bound.
  /** @return the id that a response echoes; empty: none. */
  std::function<std::string(const ResponseHead&)> id_of;
  /** Called with each response that echoes another id; may be empty. */
  std::function<void(std::string_view id, const ResponseHead&)> on_foreign;
};

/** Callbacks for the response to one request. At most one of on_end and
 * on_failure is called, after all others. */
struct ExchangeEvents {
  /** @return false if the response does not belong to this request: it is
   * skipped, and the next response on the connection is awaited. */
  std::function<bool(const ResponseHead&)> on_head;
  std::function<void(std::string_view)> on_body;
  std::function<void()> on_end;
  std::function<void(ExchangeFailure)> on_failure;
};

/**
 * Client side of one HTTP/1.1 connection, with one exchange at a time. The
 * connection is reusable only if the request was sent in full and the response
 * was complete, framed, bound to the request by its id (if ids are used) and
 * not followed by further bytes. It is not reusable after a HEAD request, as
 * the body of a second response to it would be taken for absent.
 */
class ClientConnection : public QObject {
 public:
  /**
   * @param peer the server. @param connect_timeout timeout of the
   * TCP handshake.
   * @param parent Qt owner.
   */
  ClientConnection(const Endpoint& peer,
                   std::chrono::milliseconds connect_timeout, QObject* parent);
  /**
   * @param route the proxy and the server. @param connect_timeout timeout until
   * the proxy has connected to the server.
   * @param parent Qt owner.
   */
  ClientConnection(const TunnelRoute& route,
                   std::chrono::milliseconds connect_timeout, QObject* parent);
  ~ClientConnection() override;

  /**
   * Sends a request; the connection must not be busy.
   * @param bytes the whole encoded request. @param events callbacks for the
   * response. @param binding see ResponseBinding.
   */
  void Send(std::string_view bytes, ExchangeEvents events,
            ResponseBinding binding = {});
  /** Aborts the exchange and the connection; no more callbacks. */
  void Cancel();
  /** Fails the open exchange of a connection that is not established, as not
   * sent. Without effect on any other connection. */
  void FailUnsent();
  /** @return true once the connection was established. */
  bool connected() const { return socket_->connected(); }
  /** Closes an idle connection; calls the callback for its end. */
  void EndIdle();
  /** @param paused true: stop reading the response until called with false. */
  void PauseReading(bool paused);
  /** @return true if another request may be sent now. */
  bool reusable() const;
  /** Reads what an idle connection has received and the event loop has not
   * handled yet: such bytes belong to no request and close it.
   * @return true if another request may be sent now. */
  bool ConfirmIdle();
  /** @param id of a request. @return true if a request with this id was sent on
   * this connection, among the last ones. */
  bool HasCarried(std::string_view id) const;
  /** @return true while an exchange is in flight. */
  bool busy() const { return busy_; }
  /** @return true if the server's host refused the connection. */
  bool connection_refused() const { return socket_->connection_refused(); }
  /** @return true if a proxy answered that it cannot connect to the server. */
  bool proxy_answered() const { return socket_->proxy_answered(); }
  /** @return true if the connection ended by a reset or a timeout. */
  bool was_reset() const { return was_reset_; }
  /** @return true while no byte of the response to the open exchange has
   * arrived. */
  bool awaits_response() const;
  /** @return bytes of the request that TCP has not acknowledged. */
  size_t unacknowledged() const { return socket_->unacknowledged(); }
  /** @return true once an exchange has completed. */
  bool used() const { return used_; }
  /** @return number of this connection, unique in the process. */
  uint64_t id() const { return id_; }
  /** @return exchanges begun on this connection. */
  int exchanges() const { return exchanges_; }
  /** @return received bytes that belong to no exchange. */
  size_t unrequested_bytes() const { return unrequested_bytes_; }
  /** @return when the last exchange ended. */
  std::chrono::steady_clock::time_point idle_since() const {
    return idle_since_;
  }
  /** @return time for which the server keeps the idle connection open. */
  std::chrono::milliseconds keep_alive() const { return keep_alive_; }
  /** @param callback called once if the connection ends while idle. */
  void set_on_idle_end(std::function<void()> callback) {
    on_idle_end_ = std::move(callback);
  }

 private:
  void AttachSocket();
  void OnBytes(std::string_view bytes);
  void ParseReceived();
  void OnHead(ResponseHead&& head);
  /** @return true if the response is that to the open exchange. */
  bool IsBound(const ResponseHead& head);
  void OnResponseComplete();
  void OnEnd(SocketEnd end);
  void Fail(ExchangeFailure failure);
  void ResetParser();

  const uint64_t id_;
  TcpSocket* socket_;
  std::unique_ptr<ResponseParser> parser_;
  ExchangeEvents events_;
  ResponseBinding binding_;
  std::deque<std::string> carried_ids_;  ///< Of the last requests.
  std::function<void()> on_idle_end_;
  std::string unparsed_;
  bool busy_ = false;
  bool used_ = false;
  int exchanges_ = 0;
  size_t unrequested_bytes_ = 0;
  bool skipping_response_ = false;
  int skipped_responses_ = 0;     ///< Before the response to the open exchange.
  bool skipped_foreign_ = false;  ///< In the open exchange.
  bool unattributed_ = false;     ///< See ExchangeFailure::kUnattributed.
  bool is_head_request_ = false;
  bool broken_ = false;
  bool was_reset_ = false;
  std::chrono::milliseconds keep_alive_;
  std::chrono::steady_clock::time_point idle_since_;
};

}  // namespace turmeric::http
