#include "details/exchange.h"

#include <algorithm>
#include <utility>

namespace turmeric::http::details {

QTcpSocket* Exchange::socket() const {
  // Guard: Qt's responder keeps a raw socket pointer. When the caller
  // disconnects, Qt deletes the socket, and a later write would crash the
  // process and so end all other connections. The QPointer becomes null then,
  // and every write to the responder checks this function first.
  if (socket_.isNull()) return nullptr;
  return socket_->state() == QAbstractSocket::ConnectedState ? socket_.data()
                                                             : nullptr;
}

void Exchange::WriteOrDefer(WriteFunction write) {
  if (socket() == nullptr) return;
  if (active_) {
    write(responder_);
  } else {
    deferred_writes_.push_back(std::move(write));
  }
}

void Exchange::Activate() {
  active_ = true;
  const std::vector<WriteFunction> writes = std::exchange(deferred_writes_, {});
  std::ranges::for_each(writes,
                        [this](const WriteFunction& w) { WriteOrDefer(w); });
}

void Exchange::Finish() {
  finished_ = true;
  on_disconnected_ = nullptr;
}

void Exchange::NotifyDisconnected() {
  if (auto callback = std::exchange(on_disconnected_, nullptr)) callback();
}

}  // namespace turmeric::http::details
