#pragma once

#include <QObject>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "turmeric/routing/upstream.h"

namespace turmeric::http {
class TcpSocket;
}

namespace turmeric::entry {

/**
 * @param entry an upstream's entry.
 * @return an id of this start of the upstream's process: a process may restart
 *     under the same upstream id.
 */
std::string ProcessStartId(const routing::UpstreamEntry& entry);

/**
 * Finds out whether the host of an upstream refuses a new connection after one
 * broke: the process may then have ended. If the connection is accepted or
 * times out, the failure is attributed to the exchange or the network.
 * Concurrent probes of one process start share one connection.
 */
class UpstreamProbe : public QObject {
 public:
  /** Receives true if the connection was refused. */
  using Callback = std::function<void(bool refused)>;

  UpstreamProbe();
  ~UpstreamProbe() override;

  /**
   * @param upstream an upstream whose connection broke.
   * @param done called once, never from inside this call.
   */
  void Probe(const routing::UpstreamPtr& upstream, Callback done);

 private:
  struct PendingProbe {
    http::TcpSocket* socket = nullptr;
    std::vector<Callback> callbacks;
  };

  void Complete(const std::string& start, bool refused);

  std::map<std::string, PendingProbe> pending_;  ///< By ProcessStartId.
};

}  // namespace turmeric::entry
