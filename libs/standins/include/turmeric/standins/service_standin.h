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
 * Stand-in for an encoder, retriever, reranker or other stage service.
 * `POST /v1/stage` answers with the request id after a delay that grows with
 * the number of active calls. Counts executions per idempotency key, so that a
 * test can detect a non-idempotent call that was executed twice.
 * `GET /admin/stats` returns the counts.
 */
class ServiceStandin : public QObject {
 public:
  /** @param delay_ms service time without load. */
  explicit ServiceStandin(double delay_ms);
  /** @param port port on 127.0.0.1; 0 selects a free port. @return the bound
   * port, or 0 on failure. */
  uint16_t Listen(uint16_t port);
  /** @param faults faults to inject into all later requests. */
  void SetFaults(const StandinFaults& faults) { faults_ = faults; }
  /** Simulates a crash: stops listening and aborts all connections. */
  void SimulateCrash();
  /** @return number of keys executed more than once; any such key violates the
   * at-most-once guarantee. */
  int64_t duplicate_keys() const { return duplicate_keys_; }
  /** @return number of requests executed. */
  int64_t executed() const { return executed_; }
  /** @param key idempotency key. @return number of executions with this key. */
  int executions(const std::string& key) const {
    auto it = executions_.find(key);
    return it == executions_.end() ? 0 : it->second;
  }
  /** @return number of calls refused because this upstream was leaving. */
  int64_t refused_leaving() const { return refused_leaving_; }

 private:
  void HandleStage(const http::HttpRequest& request,
                   http::Responder&& responder);

  double delay_ms_;
  StandinFaults faults_;
  http::RouterServer server_;
  QTimer load_timer_;
  int active_ = 0;
  int reported_depth_ = 0;
  int64_t executed_ = 0;
  int64_t duplicate_keys_ = 0;
  int64_t refused_leaving_ = 0;
  std::map<std::string, int> executions_;
  std::mt19937_64 rng_{7};
};

}  // namespace turmeric::standins
