#pragma once

#include <QByteArray>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

class QHttpServerResponder;
class QTcpSocket;

namespace turmeric::http {

namespace details {
class Exchange;
}

/** Additional response headers, name and value. */
using Headers = std::vector<std::pair<QByteArray, QByteArray>>;

/**
 * Writes the response to one request, at once or later. It may outlive the
 * caller's connection: writes after the caller has disconnected are dropped.
 * Responses on one connection are sent in the order of their requests,
 * independent of the order in which they are ready. A responder that is
 * destroyed without a response aborts the connection, so that the caller does
 * not wait forever. Movable, not copyable; event-loop thread only.
 */
class Responder {
 public:
  /**
   * @param responder Qt's writer for this request.
   * @param socket the caller's connection.
   */
  Responder(QHttpServerResponder&& responder, QTcpSocket* socket);
  Responder(Responder&&) noexcept;
  Responder& operator=(Responder&&) noexcept;
  ~Responder();

  /**
   * Writes a complete response and finishes.
   * @param status HTTP status.
   * @param content_type media type of the body.
   * @param body the body.
   * @param headers additional headers.
   */
  void WriteResponse(int status, const QByteArray& content_type,
                     const QByteArray& body, const Headers& headers = {});
  /**
   * Starts a chunked response with status 200.
   * @param content_type media type of the stream.
   * @param headers additional headers.
   */
  void StartStream(const QByteArray& content_type, const Headers& headers = {});
  /** @param bytes one chunk of a started stream; must not be empty. */
  void WriteChunk(const QByteArray& bytes);
  /** Ends a started stream as complete. */
  void EndStream();
  /** Aborts the connection, so that the response cannot appear complete. */
  void Abort();
  /** Closes the connection once all written bytes have been sent. A stream that
   * was not ended cannot appear complete. */
  void CloseAfterSending();
  /** Closes the connection after the response written by WriteResponse, which
   * carries `Connection: close`. */
  void CloseAfterResponse() { close_after_response_ = true; }
  /** @return true once the caller has disconnected. */
  bool disconnected() const;
  /** @param callback called once if the caller disconnects before the response
   * is finished. */
  void OnDisconnected(std::function<void()> callback);

 private:
  std::shared_ptr<details::Exchange> exchange_;
  bool close_after_response_ = false;
};

}  // namespace turmeric::http
