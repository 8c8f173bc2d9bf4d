#include "details/response_queue.h"

#include <QTcpSocket>
#include <algorithm>
#include <utility>

#include "details/exchange.h"

namespace turmeric::http::details {

ConnectionOrder::ConnectionOrder(QTcpSocket* socket) : QObject(socket) {
  connect(socket, &QTcpSocket::disconnected, this, [this] {
    const auto open = std::exchange(open_, {});
    std::ranges::for_each(open, &Exchange::NotifyGone,
                          [](const auto& e) -> Exchange& { return *e; });
  });
}

ConnectionOrder& ConnectionOrder::Of(QTcpSocket* socket) {
  for (QObject* child : socket->children()) {
    if (auto* order = dynamic_cast<ConnectionOrder*>(child)) return *order;
  }
  return *new ConnectionOrder(socket);
}

void ConnectionOrder::Append(std::shared_ptr<Exchange> exchange) {
  open_.push_back(std::move(exchange));
  if (open_.size() == 1) open_.front()->TakeTurn();
}

void ConnectionOrder::Advance() {
  // Guard: a caller may send its next request before the first is answered
  // (HTTP pipelining), and the second may be ready first. Written at once it
  // would be read as the answer to the first. Only the front exchange
  // writes; the others wait, so answers leave in request order.
  while (!open_.empty() && open_.front()->finished()) {
    open_.pop_front();
    if (!open_.empty()) open_.front()->TakeTurn();
  }
}

}  // namespace turmeric::http::details
