#pragma once

#include <QObject>
#include <deque>
#include <memory>

class QTcpSocket;

namespace turmeric::http::details {

class Exchange;

/**
 * The open exchanges of one connection, in request order. The queue is a child
 * object of the socket, so it lives exactly as long as the connection.
 */
class ResponseQueue : public QObject {
 public:
  /** @param socket a caller's connection. @return the queue of the connection,
   * created on the first call. */
  static ResponseQueue& ForConnection(QTcpSocket* socket);
  /** @param exchange exchange of the newest request on the connection. */
  void Append(std::shared_ptr<Exchange> exchange);
  /** Removes finished exchanges from the front and activates the next one. */
  void Advance();

 private:
  explicit ResponseQueue(QTcpSocket* socket);

  std::deque<std::shared_ptr<Exchange>> open_;
};

}  // namespace turmeric::http::details
