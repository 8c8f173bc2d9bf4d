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

/** How the connection of a probe ended. */
enum class ProbeResult {
  kConnected,  ///< The process runs: its connection or the exchange failed.
  kRefused,    ///< The process may have ended.
  kTimeout,    ///< The failure may be one of the network.
};

/**
 * Connects to the host of an upstream after a connection to it ended.
 * Concurrent probes of one process start share one connection.
 */
class UpstreamProbe : public QObject {
 public:
  using Callback = std::function<void(ProbeResult)>;

  UpstreamProbe();
  ~UpstreamProbe() override;

  /**
   * @param upstream an upstream whose connection ended.
   * @param done called once, never from inside this call.
   */
  void Probe(const routing::UpstreamPtr& upstream, Callback done);

 private:
  struct PendingProbe {
    http::TcpSocket* socket = nullptr;
    std::vector<Callback> callbacks;
  };

  void Complete(const std::string& start, ProbeResult result);

  std::map<std::string, PendingProbe> pending_;  ///< By ProcessStartId.
};

}  // namespace turmeric::entry
