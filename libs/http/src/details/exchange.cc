#include "details/exchange.h"

#include <algorithm>
#include <utility>

namespace turmeric::http::details {

QTcpSocket* Exchange::socket() const {
  // Guard: Qt's responder keeps a raw socket pointer. When the caller
  // disconnects, Qt deletes the socket, and a later write crashes the
  // process (and cuts every other caller). The QPointer turns null then, and
  // no write reaches the responder without passing here.
  if (socket_.isNull()) return nullptr;
  return socket_->state() == QAbstractSocket::ConnectedState ? socket_.data()
                                                             : nullptr;
}

void Exchange::Do(Write write) {
  if (socket() == nullptr) return;
  if (has_turn_) {
    write(responder_);
  } else {
    waiting_.push_back(std::move(write));
  }
}

void Exchange::TakeTurn() {
  has_turn_ = true;
  const std::vector<Write> writes = std::exchange(waiting_, {});
  std::ranges::for_each(writes, [this](const Write& w) { Do(w); });
}

void Exchange::Finish() {
  finished_ = true;
  on_gone_ = nullptr;
}

void Exchange::NotifyGone() {
  if (auto callback = std::exchange(on_gone_, nullptr)) callback();
}

}  // namespace turmeric::http::details
