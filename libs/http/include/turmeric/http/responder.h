#pragma once

#include <QByteArray>
#include <QPointer>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace turmeric::http {

class ServerConnection;
class ServerResponse;

/** Additional response headers, name and value. */
using Headers = std::vector<std::pair<QByteArray, QByteArray>>;

/**
 * Writes the response to one request, at once or later. It may outlive the
 * caller's connection: writes after the caller has disconnected are dropped.
 * Responses on one connection are sent in the order of their requests: the next
 * request is read after the response to the last. A responder that is destroyed
 * without a response aborts the connection, so that the caller does not wait
 * forever. Movable, not copyable; event-loop thread only.
 */
class Responder {
 public:
  /** @param connection whose open request is answered. */
  explicit Responder(ServerConnection& connection);
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
  void CloseAfterResponse();
  /** @param callback called once if the caller disconnects before the response
   * is finished. */
  void OnDisconnected(std::function<void()> callback);

 private:
  QPointer<ServerConnection> connection_;
  std::unique_ptr<ServerResponse> response_;
};

}  // namespace turmeric::http
