#include "details/response_queue.h"

#include <QTcpSocket>
#include <algorithm>
#include <utility>

#include "details/exchange.h"

namespace turmeric::http::details {

ResponseQueue::ResponseQueue(QTcpSocket* socket) : QObject(socket) {
  connect(socket, &QTcpSocket::disconnected, this, [this] {
    const auto open = std::exchange(open_, {});
    std::ranges::for_each(open, &Exchange::NotifyDisconnected,
                          [](const auto& e) -> Exchange& { return *e; });
  });
}

ResponseQueue& ResponseQueue::ForConnection(QTcpSocket* socket) {
  for (QObject* child : socket->children()) {
    if (auto* queue = dynamic_cast<ResponseQueue*>(child)) return *queue;
  }
  return *new ResponseQueue(socket);
}

void ResponseQueue::Append(std::shared_ptr<Exchange> exchange) {
  open_.push_back(std::move(exchange));
  if (open_.size() == 1) open_.front()->Activate();
}

void ResponseQueue::Advance() {
  // Guard: with HTTP pipelining, a caller sends its next request before it has
  // received the first response, and the second response may be ready first.
  // If the second response was written at once, the caller would read it as the
  // first. Only the front exchange writes; writes of the others are
  // deferred, so that responses are sent in request order.
  while (!open_.empty() && open_.front()->finished()) {
    open_.pop_front();
    if (!open_.empty()) open_.front()->Activate();
  }
}

}  // namespace turmeric::http::details
