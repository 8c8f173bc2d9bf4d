#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>
#include <string_view>

#include "turmeric/gateway/upstream_state.h"

namespace turmeric::gateway {

/**
 * Prometheus metrics of this instance. Cost is reported per business and stage
 * as upstream seconds and generated tokens. Attainment is the share of requests
 * that are answered completely within their deadline.
 */
class GatewayMetrics {
 public:
  GatewayMetrics();
  /**
   * @param business business.
   * @param pipeline pipeline.
   * @param state run state name.
   * @param code result code name.
   * @param seconds end-to-end duration.
   * @param in_deadline true if a complete answer was given within the deadline.
   */
  void OnRequest(std::string_view business, std::string_view pipeline,
                 std::string_view state, std::string_view code, double seconds,
                 bool in_deadline);
  /**
   * @param business business.
   * @param stage stage.
   * @param seconds upstream duration.
   * @param tokens number of tokens generated.
   * @param result outcome of the call.
   */
  void OnStageCall(std::string_view business, std::string_view stage,
                   double seconds, int tokens, CallResult result);
  /** Counts an answer that did not echo the id of its request. */
  void OnMisdelivered() { misdelivered_.Increment(); }
  /**
   * Records a request that was refused before it was complete.
   * @param reason a fixed word.
   */
  void OnReceptionRefused(std::string_view reason);
  /**
   * Records a request that was malformed, beyond a limit or too slow.
   * @param status of the response.
   */
  void OnRejected(int status);
  /** Records a connection that is closed for a new one. */
  void OnClosedForNew();
  /**
   * @return the text exposition, with process CPU time and peak memory updated.
   */
  std::string Render();

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& in_deadline_;
  prometheus::Family<prometheus::Counter>& stage_seconds_;
  prometheus::Family<prometheus::Counter>& stage_tokens_;
  prometheus::Family<prometheus::Counter>& stage_calls_;
  prometheus::Family<prometheus::Histogram>& latency_;
  prometheus::Counter& misdelivered_;
  prometheus::Family<prometheus::Counter>& reception_refusals_;
  prometheus::Family<prometheus::Counter>& rejected_;
  prometheus::Counter& closed_for_new_;
  prometheus::Gauge& cpu_seconds_;
  prometheus::Gauge& rss_bytes_;
};

}  // namespace turmeric::gateway
