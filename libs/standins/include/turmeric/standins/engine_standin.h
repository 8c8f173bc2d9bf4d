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

/** How the stand-in engine's latency behaves. */
struct EngineModel {
  double prefill_us_per_char = 20;  ///< Prompt cost unless prefix cached.
  double token_ms = 2.0;            ///< Decode step with an empty batch.
  int batch_capacity = 16;          ///< Batch size at which steps double.
  int prefix_cache_entries = 256;   ///< LRU prefixes kept.
  int load_report_ms = 200;         ///< Lag of the reported queue depth.
};

/**
 * A model engine stand-in speaking the OpenAI-style completions API:
 * `POST /v1/completions` with `stream` for SSE, continuous batching (decode
 * slows with batch size), a prefix cache, and load reported with a lag in
 * the `x-queue-depth` header. `POST /admin/faults` sets StandinFaults.
 */
class EngineStandin : public QObject {
 public:
  /** @param model latency model. */
  explicit EngineStandin(EngineModel model = {});
  /**
   * @param port port on 127.0.0.1; 0 picks one.
   * @return the bound port, or 0 on failure.
   */
  uint16_t Listen(uint16_t port);
  /** @param faults faults from now on. */
  void SetFaults(const StandinFaults& faults) { faults_ = faults; }
  /** @return requests answered so far. */
  int64_t served() const { return served_; }
  /** @return completion calls received, answered or refused. */
  int64_t received() const { return received_; }
  /** @return calls refused because this engine was leaving. */
  int64_t refused_leaving() const { return refused_leaving_; }
  /** @return the bound port, 0 before Listen. */
  uint16_t port() const { return port_; }

 private:
  void Complete(const QHttpServerRequest& request, http::Responder&& responder);
  bool PrefixCached(const std::string& prompt);

  EngineModel model_;
  StandinFaults faults_;
  http::RouterServer server_;
  QTimer load_timer_;
  int active_ = 0;
  int reported_depth_ = 0;
  int64_t served_ = 0;
  uint16_t port_ = 0;
  int64_t refused_leaving_ = 0;
  int64_t received_ = 0;
  std::list<std::string> prefixes_;
  std::mt19937_64 rng_{42};
};

}  // namespace turmeric::standins
