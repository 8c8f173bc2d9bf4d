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

/** @param entry an upstream's. @return a name for this start of its process. */
std::string StartOf(const routing::UpstreamEntry& entry);

/**
 * Finds out whether an upstream that broke off has ended: its machine then
 * refuses a new connection. One that is accepted, or not answered at all, says
 * that the fault was the exchange's or the network's. Answers that break off
 * together share one connection.
 */
class UpstreamProbe : public QObject {
 public:
  /** Told whether the process has ended. */
  using Answer = std::function<void(bool has_ended)>;

  UpstreamProbe();
  ~UpstreamProbe() override;

  /** @param upstream broke off. @param done called once, never from inside
   * this call. */
  void Ask(const routing::UpstreamPtr& upstream, Answer done);

 private:
  struct Open {
    http::TcpSocket* socket = nullptr;
    std::vector<Answer> waiting;
  };

  void End(const std::string& start, bool has_ended);

  std::map<std::string, Open> open_;  ///< By start of an upstream.
};

}  // namespace turmeric::entry
