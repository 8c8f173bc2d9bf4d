#pragma once

#include <QObject>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "turmeric/http/listener.h"
#include "turmeric/http/server_connection.h"
#include "turmeric/utils/log_interval.h"
#include "turmeric/utils/result.h"

namespace turmeric::http {
class RequestIntake;
}

namespace turmeric::entry {

class EntryMetrics;

/**
 * Receives the requests of load balancers or of readers of metrics at one
 * address. They have no bodies and are answered at once, so that of too many
 * connections the oldest is closed.
 */
class ProbeServer : public QObject {
 public:
  /** @param name of the address in logs and metrics. @param metrics must
   * outlive this. @param intake bounds what requests hold; must outlive this.
   * @param handler must respond at once. */
  ProbeServer(std::string_view name, EntryMetrics& metrics,
              http::RequestIntake& intake,
              http::ServerConnection::RequestHandler handler);
  ~ProbeServer() override;

  /** @param address "ip:port". @return kIniInvalid if it cannot be bound. */
  utils::Result<void> Listen(std::string_view address);
  /** @return the bound port, 0 if not listening. */
  uint16_t port() const { return listener_.port(); }
  /** Stops accepting. */
  void Close() { listener_.Close(); }

 private:
  void Accept(int fd);
  void CloseOldest();

  const std::string name_;
  EntryMetrics& metrics_;
  http::RequestIntake& intake_;
  http::ServerConnection::RequestHandler handler_;
  http::Listener listener_;
  std::deque<http::ServerConnection*> connections_;  ///< The oldest first.
  utils::LogInterval log_interval_;
};

}  // namespace turmeric::entry
