#pragma once

#include <QObject>
#include <QPointer>
#include <QTimer>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "turmeric/http/message.h"
#include "turmeric/http/message_parser.h"
#include "turmeric/http/response_progress.h"

namespace turmeric::http {

class TcpSocket;

/** Limits on the size of requests and on the time to receive them. */
struct ServerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 4 * 1024 * 1024;
  std::chrono::milliseconds header_timeout{
      3000};                                      ///< First byte to whole head.
  std::chrono::milliseconds idle_timeout{15000};  ///< Between requests.
};

/** A complete response. */
struct ResponseMessage {
  int status = 200;
  std::vector<HeaderField> headers;
  std::string body;
};

/**
 * Server side of one HTTP/1.1 connection. Requests are read one at a time: the
 * next is parsed only after the response to the last, so that responses cannot
 * be mixed up. Malformed, oversized or slow requests are rejected with an error
 * status, and the connection is closed. The object deletes itself when the
 * connection ends.
 */
class ServerConnection : public QObject {
 public:
  /** Receives a complete request and must respond to it, at once or later. */
  using RequestHandler =
      std::function<void(ServerConnection&, RequestMessage&&)>;
  /** Returns the limits in force; called for each request. */
  using LimitsSource = std::function<ServerLimits()>;

  /**
   * @param fd a connected, non-blocking socket; owned.
   * @param limits returns the limits in force. @param handler called with each
   * request.
   * @param parent Qt owner.
   */
  ServerConnection(int fd, LimitsSource limits, RequestHandler handler,
                   QObject* parent);
  ~ServerConnection() override;

  /** @param callback called once if the client disconnects before the response
   * is finished. */
  void set_on_disconnected(std::function<void()> callback) {
    on_disconnected_ = std::move(callback);
  }
  /** @param callback called when all written bytes have been sent. */
  void set_on_drained(std::function<void()> callback) {
    on_drained_ = std::move(callback);
  }
  /** @param callback called when the bytes that this connection holds may have
   * changed: see held() and unsent(). */
  void set_on_buffered(std::function<void()> callback) {
    on_buffered_ = std::move(callback);
  }
  /** @param callback called when a request is rejected: it is malformed, beyond
   * a limit or too slow. `status` is that of the response. */
  void set_on_rejected(std::function<void(int status)> callback) {
    on_rejected_ = std::move(callback);
  }
  /** @param callback called when held() may have changed; may call
   * RefuseIncomplete(). */
  void set_on_received(std::function<void()> callback) {
    on_received_ = std::move(callback);
  }
  /** @return the request that is being received, without its body; empty if
   * none has a whole head. The caller refuses the request next. */
  RequestMessage TakeIncompleteHead();
  /** Refuses the request that is being received, drops what was received of it,
   * and closes the connection. Does nothing if none is being received.
   * @param response the complete response. */
  void RefuseIncomplete(const ResponseMessage& response);
  /** Sends a whole response. If one has begun, resets the connection instead,
   * so that the client sees that it is incomplete; so do StartChunked and
   * StartSized. Writes that are not due do nothing.
   * @param response the complete response to the open request. */
  void Respond(const ResponseMessage& response);
  /** Starts a chunked response. @param status HTTP status. @param headers
   * header fields. */
  void StartChunked(int status, std::span<const HeaderField> headers);
  /** Starts a response with a known length. @param status HTTP status.
   * @param headers header fields. @param length bytes of the body. */
  void StartSized(int status, std::span<const HeaderField> headers,
                  uint64_t length);
  /** @param bytes next part of a started response; empty writes nothing. */
  void WriteChunk(std::string_view bytes);
  /** Completes a started response; one that is shorter or longer than its
   * length is aborted. */
  void EndChunked();
  /** Resets the connection, so that an open response cannot appear complete. */
  void Abort();
  /** Closes the connection once all written bytes have been sent. A response in
   * chunks that has not ended cannot appear complete. */
  void CloseUnfinished();
  /** Resets the connection, also while the last response is being sent, and
   * reports that the client has disconnected. */
  void CutOff();
  /** @return time since which the connection carries no request; nullopt: it
   * carries one, in whole or in part. */
  std::optional<std::chrono::steady_clock::time_point> idle_since() const;
  /** @return time at which a request was refused before it was complete, while
   * the refusal is being sent; nullopt otherwise. */
  std::optional<std::chrono::steady_clock::time_point> refused_at() const;
  /** Closes the connection now if it is idle and its client has received all
   * responses. @return true if it was closed. */
  bool CloseIfIdle();
  /** Closes after the response to the open request, or now if there is none. */
  void CloseWhenIdle();
  /** @return true while a request is received. */
  bool reading() const { return reading_; }
  /** @return time of the first byte of the last request. */
  std::chrono::steady_clock::time_point reading_since() const {
    return reading_since_;
  }
  /** @return number of this connection, unique in the process. */
  uint64_t id() const { return id_; }
  /** @return true while the response to a request is not finished. */
  bool busy() const { return IsOpen(*progress_); }
  /** @return progress of the response to the open or the last request. */
  std::shared_ptr<const ResponseProgress> progress() const { return progress_; }
  /** @return time from the first byte of the last complete request until it
   * was complete. */
  std::chrono::milliseconds receive_time() const { return receive_time_; }
  /** @return response bytes that have not been handed to the system yet. */
  size_t unsent() const;
  /** @return response bytes that TCP of the client has acknowledged so far. */
  uint64_t sent() const;
  /** @return bytes of memory that requests hold which are incomplete or wait
   * for the response to an earlier one. */
  size_t held() const;
  /** @return bytes that the incomplete request is expected to hold: its head
   * and the announced length of its body, or an estimate from what has been
   * received; 0 if there is none. */
  size_t expected() const;

 private:
  void OnBytes(std::string_view bytes);
  /** Keeps what a client sends ahead of its responses small. */
  void LimitReadAhead();
  void ParseNext();
  void Reject(int status);
  void DropReceived();
  void BeginExchange(bool is_head_request);
  /** Decides on a step of the response; resets the connection on a second head.
   * @return true if the step is to be written. */
  bool Admits(ResponseStep step, int status);
  void OnEnd();
  void FinishResponse();
  void WriteHead(int status, std::span<const HeaderField> headers,
                 std::string& out);
  void Close();
  void NotifyDisconnected();
  void NotifyBuffered();

  const uint64_t id_;
  LimitsSource limits_source_;
  RequestHandler handler_;
  std::function<void()> on_disconnected_;
  std::function<void()> on_drained_;
  std::function<void()> on_buffered_;
  std::function<void()> on_received_;
  std::function<void(int)> on_rejected_;
  TcpSocket* socket_;  ///< Child object; released on an orderly close.
  QPointer<TcpSocket> flushing_;  ///< Sends the last response after Close().
  std::unique_ptr<RequestParser> parser_;
  std::string unparsed_;
  QTimer timer_;  ///< Header timeout or idle timeout.
  /** Bytes missing of a started response; nullopt: it is chunked. */
  std::optional<uint64_t> body_left_;
  /** Replaced with each request. */
  std::shared_ptr<ResponseProgress> progress_;
  bool is_head_request_ = false;  ///< The response has no body.
  bool keep_alive_ = true;
  bool close_when_idle_ = false;
  bool reading_ = false;  ///< A request has been received in part.
  /** Bytes that a client may send after its incomplete request was refused. */
  size_t max_discarded_ = 0;
  std::chrono::steady_clock::time_point reading_since_;
  std::chrono::steady_clock::time_point idle_since_;
  std::optional<std::chrono::steady_clock::time_point> refused_at_;
  std::chrono::milliseconds receive_time_{0};
};

}  // namespace turmeric::http
