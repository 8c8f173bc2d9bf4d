#include "details/connect_any.h"

#include <utility>

namespace turmeric::entry {

using http::TcpSocket;

ConnectAny::ConnectAny(std::span<const http::Endpoint> hosts,
                       std::chrono::milliseconds timeout, Callback done)
    : done_(std::move(done)), open_(hosts.size()) {
  for (const http::Endpoint& host : hosts) {
    auto* socket = new TcpSocket(host, timeout, this);
    socket->set_events({.on_connected = [this] { Complete(true); },
                        .on_bytes = {},
                        .on_end =
                            [this](http::SocketEnd) {
                              if (--open_ == 0) Complete(false);
                            },
                        .on_drained = {}});
  }
}

void ConnectAny::Complete(bool connected) {
  const auto done = std::exchange(done_, nullptr);
  if (!done) return;
  const QObjectList sockets = children();
  for (QObject* child : sockets) {
    if (auto* socket = dynamic_cast<TcpSocket*>(child)) socket->Abort();
  }
  deleteLater();
  done(connected);
}

}  // namespace turmeric::entry
