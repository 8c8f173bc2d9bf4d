#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "turmeric/http/message.h"
#include "turmeric/http/message_parser.h"

namespace turmeric::http {

class TcpSocket;

/** What a client may send, and how long it may take. */
struct ServerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 4 * 1024 * 1024;
  std::chrono::milliseconds header_timeout{3000};  ///< First byte to whole.
  std::chrono::milliseconds idle_timeout{15000};   ///< Between requests.
};

/** A whole answer. */
struct ResponseMessage {
  int status = 200;
  std::vector<HeaderField> headers;
  std::string body;
};

/**
 * The server's side of one HTTP/1.1 connection: requests are read one at a
 * time, and the next is parsed only when the last is answered, so answers
 * cannot cross. Malformed, oversized or slow requests are answered and the
 * connection closed here. Deletes itself when it ends.
 */
class ServerConnection : public QObject {
 public:
  /** Gets a whole request; must answer it now or later. */
  using RequestHandler =
      std::function<void(ServerConnection&, RequestMessage&&)>;
  /** Gives the limits in force; asked for each request. */
  using LimitsSource = std::function<ServerLimits()>;

  /**
   * @param fd a connected, non-blocking socket; owned.
   * @param limits limits in force. @param handler gets each request.
   * @param parent Qt owner.
   */
  ServerConnection(int fd, LimitsSource limits, RequestHandler handler,
                   QObject* parent);
  ~ServerConnection() override;

  /** @param callback called once if the client goes before its answer. */
  void set_on_gone(std::function<void()> callback) {
    on_gone_ = std::move(callback);
  }
  /** @param callback called when written bytes have all left. */
  void set_on_drained(std::function<void()> callback) {
    on_drained_ = std::move(callback);
  }
  /** @param response the whole answer to the open request. */
  void Respond(const ResponseMessage& response);
  /** Starts a chunked answer. @param status its status. @param headers its
   * fields. */
  void StartChunked(int status, std::span<const HeaderField> headers);
  /** @param bytes next part of a started answer; empty writes nothing. */
  void WriteChunk(std::string_view bytes);
  /** Ends a started answer as complete. */
  void EndChunked();
  /** Closes so that an open answer cannot look complete. */
  void Abort();
  /** Closes after the open answer, or now if there is none. */
  void CloseWhenIdle();
  /** @return true while a request waits for its answer. */
  bool busy() const { return busy_; }
  /** @return answer bytes the client has not taken yet. */
  size_t unsent() const;

 private:
  void OnBytes(std::string_view bytes);
  void ParseNext();
  void Reject(int status);
  void OnEnd();
  void FinishAnswer();
  void WriteHead(int status, std::span<const HeaderField> headers,
                 std::string& out);
  void Close();
  void CloseIdle();
  void NotifyGone();

  LimitsSource limits_source_;
  RequestHandler handler_;
  std::function<void()> on_gone_;
  std::function<void()> on_drained_;
  TcpSocket* socket_;  ///< Child object; released when closing in order.
  std::unique_ptr<RequestParser> parser_;
  std::string pending_;
  QTimer timer_;  ///< Header or idle timeout, whichever is running.
  bool busy_ = false;
  bool keep_alive_ = true;
  bool close_when_idle_ = false;
  bool reading_ = false;
};

}  // namespace turmeric::http
