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
 * The instance's metrics (prometheus-cpp). Cost by business and stage is
 * upstream seconds and generated tokens; attainment is requests answered
 * whole within deadline over all requests.
 */
class GatewayMetrics {
 public:
  GatewayMetrics();
  /**
   * @param business business. @param pipeline pipeline.
   * @param state run state name. @param code result code name.
   * @param seconds end-to-end time. @param in_deadline answered whole in time.
   */
  void OnRequest(std::string_view business, std::string_view pipeline,
                 std::string_view state, std::string_view code, double seconds,
                 bool in_deadline);
  /**
   * @param business business. @param stage stage.
   * @param seconds upstream time. @param tokens tokens generated.
   * @param result how the call ended.
   */
  void OnStageCall(std::string_view business, std::string_view stage,
                   double seconds, int tokens, CallResult result);
  /** Counts an answer that did not echo its own request id. */
  void OnMisdelivered() { misdelivered_.Increment(); }
  /** @return the text exposition, with process CPU updated. */
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
  prometheus::Gauge& cpu_seconds_;
  prometheus::Gauge& rss_bytes_;
};

}  // namespace turmeric::gateway
