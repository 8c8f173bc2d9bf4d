#pragma once

#include <QObject>
#include <deque>
#include <memory>

class QTcpSocket;

namespace turmeric::http::details {

class Exchange;

/**
 * The open exchanges of one connection, in request order. A child of the
 * socket: it lives exactly as long as the connection.
 */
class ConnectionOrder : public QObject {
 public:
  /** @param socket a caller's connection. @return its order, made if new. */
  static ConnectionOrder& Of(QTcpSocket* socket);
  /** @param exchange the connection's newest request. */
  void Append(std::shared_ptr<Exchange> exchange);
  /** Lets the answers whose turn has come go out. */
  void Advance();

 private:
  explicit ConnectionOrder(QTcpSocket* socket);

  std::deque<std::shared_ptr<Exchange>> open_;
};

}  // namespace turmeric::http::details
