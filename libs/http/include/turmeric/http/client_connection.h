#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "turmeric/http/message.h"
#include "turmeric/http/message_parser.h"
#include "turmeric/http/tcp_socket.h"

namespace turmeric::http {

/** How an exchange ended without a whole answer. */
enum class ExchangeFailure {
  kNotSent,    ///< Never connected: the request has not left us.
  kNoAnswer,   ///< The connection ended before any byte of an answer.
  kTruncated,  ///< The answer was cut off.
  kMalformed,  ///< The bytes are no HTTP answer.
};

/** Called as the answer to one request arrives. At most one of on_end and
 * on_failure is called, last. */
struct ExchangeEvents {
  /** @return false if this answer is not ours: it is skipped and the next
   * answer on the connection is awaited. */
  std::function<bool(const ResponseHead&)> on_head;
  std::function<void(std::string_view)> on_body;
  std::function<void()> on_end;
  std::function<void(ExchangeFailure)> on_failure;
};

/**
 * The client's side of one HTTP/1.1 connection, one exchange at a time. A
 * connection is reusable only after a whole, framed answer with nothing
 * behind it, to a request that was sent in full.
 */
class ClientConnection : public QObject {
 public:
  /**
   * @param peer the server. @param connect_timeout for the handshake.
   * @param parent Qt owner.
   */
  ClientConnection(const Endpoint& peer,
                   std::chrono::milliseconds connect_timeout, QObject* parent);
  ~ClientConnection() override;

  /**
   * Sends a request; the connection must not be busy.
   * @param bytes the request, whole. @param events called as it is answered.
   */
  void Send(std::string_view bytes, ExchangeEvents events);
  /** Drops the exchange and the connection; no more callbacks. */
  void Cancel();
  /** @param paused true: stop reading the answer for now. */
  void PauseReading(bool paused);
  /** @return true if another request may be sent now. */
  bool reusable() const;
  /** @return true while an exchange is open. */
  bool busy() const { return busy_; }
  /** @return true if the connection is open and was used before. */
  bool used() const { return used_; }
  /** @return when the last exchange ended. */
  std::chrono::steady_clock::time_point idle_since() const {
    return idle_since_;
  }
  /** @return how long the server keeps it open when idle. */
  std::chrono::milliseconds keep_alive() const { return keep_alive_; }
  /** @param callback called once when an idle connection ends. */
  void set_on_idle_end(std::function<void()> callback) {
    on_idle_end_ = std::move(callback);
  }

 private:
  void OnBytes(std::string_view bytes);
  void ParsePending();
  void OnHead(ResponseHead&& head);
  void OnDone();
  void OnEnd(SocketEnd end);
  void Fail(ExchangeFailure failure);
  void NewParser();

  TcpSocket* socket_;
  std::unique_ptr<ResponseParser> parser_;
  ExchangeEvents events_;
  std::function<void()> on_idle_end_;
  std::string pending_;
  bool busy_ = false;
  bool used_ = false;
  bool skipping_ = false;
  bool answers_head_ = false;
  bool broken_ = false;
  std::chrono::milliseconds keep_alive_;
  std::chrono::steady_clock::time_point idle_since_;
};

}  // namespace turmeric::http
