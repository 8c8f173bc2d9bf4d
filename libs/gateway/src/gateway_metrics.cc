#include "turmeric/gateway/gateway_metrics.h"

#include <prometheus/text_serializer.h>
#include <sys/resource.h>

#include <sstream>

namespace turmeric::gateway {

namespace {
using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

std::string CallResultName(CallResult result) {
  switch (result) {
    case CallResult::kOk:
      return "ok";
    case CallResult::kRefusedLeaving:
      return "refused_leaving";
    case CallResult::kNotSent:
      return "not_sent";
    case CallResult::kFailed:
      return "failed";
    case CallResult::kMisdelivered:
      return "misdelivered";
    case CallResult::kCancelled:
      return "cancelled";
  }
  return "unnamed";
}
}  // namespace

GatewayMetrics::GatewayMetrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      requests_(BuildCounter()
                    .Name("turmeric_requests_total")
                    .Help("Requests answered, by outcome")
                    .Register(*registry_)),
      in_deadline_(BuildCounter()
                       .Name("turmeric_requests_in_deadline_total")
                       .Help("Requests answered whole within their deadline")
                       .Register(*registry_)),
      stage_seconds_(BuildCounter()
                         .Name("turmeric_stage_upstream_seconds_total")
                         .Help("Upstream time spent, by business and stage")
                         .Register(*registry_)),
      stage_tokens_(BuildCounter()
                        .Name("turmeric_stage_tokens_total")
                        .Help("Tokens generated, by business and stage")
                        .Register(*registry_)),
      stage_calls_(BuildCounter()
                       .Name("turmeric_stage_calls_total")
                       .Help("Upstream calls, by business, stage and result")
                       .Register(*registry_)),
      latency_(BuildHistogram()
                   .Name("turmeric_request_seconds")
                   .Help("End-to-end request time")
                   .Register(*registry_)),
      misdelivered_(BuildCounter()
                        .Name("turmeric_misdelivered_total")
                        .Help("Answers not carrying their own request id")
                        .Register(*registry_)
                        .Add({})),
      reception_refusals_(
          BuildCounter()
              .Name("turmeric_reception_refusals_total")
              .Help("Large requests refused before they were complete")
              .Register(*registry_)),
      rejected_(BuildCounter()
                    .Name("turmeric_rejected_requests_total")
                    .Help("Requests that were malformed, beyond a limit or "
                          "too slow, by status")
                    .Register(*registry_)),
      closed_for_new_(BuildCounter()
                          .Name("turmeric_shed_connections_total")
                          .Help("Connections closed for new ones")
                          .Register(*registry_)
                          .Add({})),
      cpu_seconds_(BuildGauge()
                       .Name("turmeric_process_cpu_seconds")
                       .Help("User+system CPU of this process")
                       .Register(*registry_)
                       .Add({})),
      rss_bytes_(BuildGauge()
                     .Name("turmeric_process_max_rss_bytes")
                     .Help("Peak resident memory of this process")
                     .Register(*registry_)
                     .Add({})) {}

void GatewayMetrics::OnRequest(std::string_view business,
                               std::string_view pipeline,
                               std::string_view state, std::string_view code,
                               double seconds, bool in_deadline) {
  const std::string b(business), p(pipeline);
  requests_
      .Add({{"business", b},
            {"pipeline", p},
            {"state", std::string(state)},
            {"code", std::string(code)}})
      .Increment();
  if (in_deadline) {
    in_deadline_.Add({{"business", b}, {"pipeline", p}}).Increment();
  }
  static const prometheus::Histogram::BucketBoundaries kBuckets = {
      0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 6, 10};
  latency_.Add({{"business", b}}, kBuckets).Observe(seconds);
}

void GatewayMetrics::OnStageCall(std::string_view business,
                                 std::string_view stage, double seconds,
                                 int tokens, CallResult result) {
  const prometheus::Labels labels{{"business", std::string(business)},
                                  {"stage", std::string(stage)}};
  stage_seconds_.Add(labels).Increment(seconds);
  if (tokens > 0) stage_tokens_.Add(labels).Increment(tokens);
  prometheus::Labels with_result = labels;
  with_result["result"] = CallResultName(result);
  stage_calls_.Add(with_result).Increment();
}

void GatewayMetrics::OnReceptionRefused(std::string_view reason) {
  reception_refusals_.Add({{"reason", std::string(reason)}}).Increment();
}

void GatewayMetrics::OnClosedForNew() { closed_for_new_.Increment(); }

void GatewayMetrics::OnRejected(int status) {
  rejected_.Add({{"status", std::to_string(status)}}).Increment();
}

std::string GatewayMetrics::Render() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  cpu_seconds_.Set(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec +
                   (usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6);
  rss_bytes_.Set(static_cast<double>(usage.ru_maxrss) * 1024);
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, registry_->Collect());
  return out.str();
}

}  // namespace turmeric::gateway
