#pragma once

#include <QObject>
#include <chrono>
#include <functional>
#include <span>

#include "turmeric/http/tcp_socket.h"

namespace turmeric::entry {

/** Finds out whether any of several hosts accepts a new connection. */
class ConnectAny : public QObject {
 public:
  /** Receives true as soon as one has accepted, false once all have failed. */
  using Callback = std::function<void(bool connected)>;

  /** @param hosts addresses, at least one. @param timeout of the connections.
   * @param done called once, never from inside this call. */
  ConnectAny(std::span<const http::Endpoint> hosts,
             std::chrono::milliseconds timeout, Callback done);

 private:
  void Complete(bool connected);

  Callback done_;
  size_t open_ = 0;
};

}  // namespace turmeric::entry
