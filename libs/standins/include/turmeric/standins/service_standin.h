#pragma once

#include <QObject>
#include <QTimer>
#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "turmeric/http/router_server.h"
#include "turmeric/standins/standin_faults.h"

namespace turmeric::standins {

/**
 * Stand-in for an encoder, retriever, reranker or plain service pool member:
 * `POST /v1/stage` answers after `delay_ms` (times load), echoing the
 * request id. It counts executions per idempotency key so a test can see a
 * non-idempotent call done twice (`GET /admin/stats`).
 */
class ServiceStandin : public QObject {
 public:
  /** @param delay_ms base service time. */
  explicit ServiceStandin(double delay_ms);
  /** @param port port on 127.0.0.1; 0 picks one. @return bound port or 0. */
  uint16_t Listen(uint16_t port);
  /** @param faults faults from now on. */
  void SetFaults(const StandinFaults& faults) { faults_ = faults; }
  /** Refuses connections from now on, as a dead process does. */
  void Die();
  /** @return keys executed more than once (must stay 0). */
  int64_t doubled() const { return doubled_; }
  /** @return requests executed. */
  int64_t executed() const { return executed_; }
  /** @param key idempotency key. @return times executed for it. */
  int executions(const std::string& key) const {
    auto it = executions_.find(key);
    return it == executions_.end() ? 0 : it->second;
  }
  /** @return calls refused because this upstream was leaving. */
  int64_t refused_leaving() const { return refused_leaving_; }

 private:
  void Serve(const QHttpServerRequest& request, http::Responder&& responder);

  double delay_ms_;
  StandinFaults faults_;
  http::RouterServer server_;
  QTimer load_timer_;
  int active_ = 0;
  int reported_depth_ = 0;
  int64_t executed_ = 0;
  int64_t doubled_ = 0;
  int64_t refused_leaving_ = 0;
  std::map<std::string, int> executions_;
  std::mt19937_64 rng_{7};
};

}  // namespace turmeric::standins
