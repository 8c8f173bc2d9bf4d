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

/** Extra response headers, name and value. */
using Headers = std::vector<std::pair<QByteArray, QByteArray>>;

/**
 * The answer to one request, written now or later. It outlives the caller's
 * connection: writes after the caller has gone are dropped. Answers on one
 * connection leave in the order of their requests, whichever is ready
 * first. A responder destroyed without an answer closes the connection, so
 * no caller waits for ever. Movable, not copyable; event-loop thread only.
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
   * Writes a whole answer and finishes.
   * @param status HTTP status.
   * @param content_type media type of the body.
   * @param body the body.
   * @param headers extra headers.
   */
  void WriteWhole(int status, const QByteArray& content_type,
                  const QByteArray& body, const Headers& headers = {});
  /**
   * Starts a chunked answer with status 200.
   * @param content_type media type of the stream.
   * @param headers extra headers.
   */
  void StartStream(const QByteArray& content_type, const Headers& headers = {});
  /** @param bytes one chunk of a started stream; must not be empty. */
  void WriteChunk(const QByteArray& bytes);
  /** Ends a started stream as complete. */
  void EndStream();
  /** Closes the connection so that the answer cannot look complete. */
  void Abort();
  /** Closes once all that was written has been sent; a stream without its end
   * cannot look complete. */
  void CloseAfterSending();
  /** The whole answer to come is the last on its connection, and says so. */
  void CloseAfterwards() { closes_ = true; }
  /** @return true once the caller's connection is gone. */
  bool gone() const;
  /** @param callback called once when the caller goes before the answer. */
  void OnGone(std::function<void()> callback);

 private:
  std::shared_ptr<details::Exchange> exchange_;
  bool closes_ = false;
};

}  // namespace turmeric::http
