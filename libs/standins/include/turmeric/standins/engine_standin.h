#pragma once

#include <QObject>
#include <QTimer>
#include <cstdint>
#include <list>
#include <memory>
#include <random>
#include <string>

#include "turmeric/http/router_server.h"
#include "turmeric/standins/standin_faults.h"

namespace turmeric::standins {

/** Latency model of the stand-in engine. */
struct EngineLatencyModel {
  double prefill_us_per_char = 20;  ///< Prefill time if uncached.
  double token_ms = 2.0;            ///< Decode step time without load.
  int batch_capacity = 16;          ///< Batch size that doubles the step time.
  int prefix_cache_entries = 256;   ///< Capacity of the LRU prefix cache.
  int load_report_ms = 200;  ///< Update interval of the reported queue depth.
};

/**
 * Stand-in for a model engine with an OpenAI-style completions API:
 * `POST /v1/completions`, with server-sent events if `stream` is set. It
 * simulates continuous batching (decode steps slow down with the batch size)
 * and a prefix cache, and reports its queue depth with a delay in the
 * `x-queue-depth` header. `POST /admin/faults` sets StandinFaults.
 */
class EngineStandin : public QObject {
 public:
  /** @param model latency model. */
  explicit EngineStandin(EngineLatencyModel model = {});
  /**
   * @param port port on 127.0.0.1; 0 selects a free port.
   * @return the bound port, or 0 on failure.
   */
  uint16_t Listen(uint16_t port);
  /** @param faults faults to inject into all later requests. */
  void SetFaults(const StandinFaults& faults) { faults_ = faults; }
  /** @return number of completed requests. */
  int64_t served() const { return served_; }
  /** @return number of completion calls received, including refused ones. */
  int64_t received() const { return received_; }
  /** @return number of calls refused because this engine was leaving. */
  int64_t refused_leaving() const { return refused_leaving_; }
  /** @return the bound port, 0 before Listen. */
  uint16_t port() const { return port_; }

 private:
  void HandleCompletion(const http::HttpRequest& request,
                        http::Responder&& responder);
  /** Makes the prefix of the prompt the most recently used cache entry.
   * @return true if the prefix was cached before. */
  bool TouchPrefix(const std::string& prompt);

  EngineLatencyModel model_;
  StandinFaults faults_;
  http::RouterServer server_;
  QTimer load_timer_;
  int active_ = 0;
  int reported_depth_ = 0;
  int64_t served_ = 0;
  uint16_t port_ = 0;
  int64_t refused_leaving_ = 0;
  int64_t received_ = 0;
  std::list<std::string> cached_prefixes_;
  std::mt19937_64 rng_{42};
};

}  // namespace turmeric::standins
