#pragma once

#include <QObject>
#include <QSocketNotifier>
#include <functional>
#include <memory>

#include "turmeric/http/tcp_socket.h"
#include "turmeric/utils/result.h"

namespace turmeric::http {

/** Accepts TCP connections and passes their descriptors to a callback. */
class Listener : public QObject {
 public:
  /** @param on_accept called with each accepted, non-blocking descriptor, which
   * it owns. */
  explicit Listener(std::function<void(int fd)> on_accept);
  ~Listener() override;

  /**
   * @param address local address; port 0 selects a free port.
   * @return kIniInvalid if the address cannot be bound.
   */
  utils::Result<void> Listen(const Endpoint& address);
  /** @return the bound port, 0 if not listening. */
  uint16_t port() const;
  /** Stops accepting. */
  void Close();

 private:
  void Accept();

  std::function<void(int fd)> on_accept_;
  int fd_ = -1;
  std::unique_ptr<QSocketNotifier> notifier_;
};

}  // namespace turmeric::http
