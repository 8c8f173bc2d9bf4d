#pragma once

#include <QObject>
#include <QSocketNotifier>
#include <functional>
#include <memory>
#include <utility>

#include "turmeric/http/tcp_socket.h"
#include "turmeric/utils/result.h"

namespace turmeric::http {

/** Accepts TCP connections and passes their descriptors to a callback. */
class Listener : public QObject {
 public:
  /** @param on_accept called with each accepted, non-blocking descriptor, which
   * it owns. */
  explicit Listener(std::function<void(int fd)> on_accept);
  /** @param takes called with each accepted connection; if it returns false,
   * the connection is reset with its bytes unread, and not passed on. */
  void set_takes(std::function<bool()> takes) { takes_ = std::move(takes); }
  ~Listener() override;

  /**
   * @param address local address, IPv4 or IPv6; port 0 selects a free port.
   * @return kIniInvalid if the address cannot be bound.
   */
  utils::Result<void> Listen(const Endpoint& address);
  /** @return the bound port, 0 if not listening. */
  uint16_t port() const;
  /** Accepts the connections that are waiting. */
  void AcceptWaiting() { Accept(); }
  /** Stops accepting. */
  void Close();

 private:
  void Accept();
  void PauseAccepting();

  std::function<void(int fd)> on_accept_;
  std::function<bool()> takes_;
  int fd_ = -1;
  std::unique_ptr<QSocketNotifier> notifier_;
};

}  // namespace turmeric::http
