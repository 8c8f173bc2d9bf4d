// `turmericctl load --scenario=routing`: compares routing policies and hedging
// with the round-robin baseline, with slow, dead or stalling upstreams.
#include <gflags/gflags.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <cstdio>

#include "load_phase.h"
#include "report.h"
#include "turmeric/config/settings_tree.h"
#include "turmeric/gateway/embedded_platform.h"
#include "turmeric/gateway/embedded_stack.h"
#include "turmeric/gateway/gateway_metrics.h"
#include "turmeric/gateway/gateway_service.h"
#include "turmeric/standins/service_standin.h"
#include "turmeric/store/memory_store.h"

DECLARE_int32(requests);
DECLARE_int32(concurrency);

namespace turmeric::ctl {

namespace {

/** A routing policy, measured in a phase of its own. */
struct Variant {
  const char* label;
  const char* routing;
  int hedge_percent;
};

constexpr Variant kVariants[] = {
    {"round_robin", "round_robin", 0},
    {"p2c", "p2c", 0},
    {"p2c_ewma", "p2c_ewma", 0},
    {"p2c + hedge 10%", "p2c", 10},
    {"p2c_ewma + hedge 10%", "p2c_ewma", 10},
};

/** Deadline of a request; a few times its latency without faults. */
constexpr int kRoutingDeadlineMs = 100;

/** Faults of the upstreams while a variant is measured. */
enum class UpstreamFaults {
  kSlowAndDead,  ///< One retriever is 20 times slower, one reranker dead.
  kStalls,       ///< Every service takes 20 times as long for 3 % of calls.
};

void ApplyFaults(UpstreamFaults faults,
                 const gateway::EmbeddedPlatform& platform) {
  // Indexes into services(): 3 panel services and 2 encoders of the business
  // nilelight come first.
  constexpr int kRetriever = 5;
  constexpr int kReranker = 7;
  const auto& services = platform.services();
  switch (faults) {
    case UpstreamFaults::kSlowAndDead:
      services[kRetriever]->SetFaults({.slow_factor = 20});
      services[kReranker]->SimulateCrash();
      break;
    case UpstreamFaults::kStalls:
      for (const auto& s : services) s->SetFaults({.stall_rate = 0.03});
      break;
  }
}

QJsonObject RunVariant(const Variant& variant, UpstreamFaults faults) {
  gateway::EmbeddedStack stack;
  if (!stack.Start(1)) return {{"error", "cannot start"}};
  (void)stack.store->Put(
      config::SettingsKey("group", "", ""),
      "deadline_ms = 6000\nmax_inflight = 1000\nrouting = " +
          std::string(variant.routing) +
          "\nhedge_percent = " + std::to_string(variant.hedge_percent) +
          "\nretry_budget_percent = 10\nmin_stage_ms = 1\n",
      store::kAnyVersion);
  ApplyFaults(faults, *stack.embedded);
  auto make = [&](int i, int) {
    const std::string nonce = "#n" + std::to_string(i);
    QJsonObject body{{"organisation", "nile-hotels"},
                     {"input", QString::fromStdString("notice " + nonce)},
                     {"max_tokens", 4},
                     {"deadline_ms", kRoutingDeadlineMs}};
    return LoadRequest{
        stack.Url(0) + "/v1/pipelines/nilelight/translate-notice:run",
        QJsonDocument(body).toJson(QJsonDocument::Compact),
        {},
        nonce,
        "nilelight"};
  };
  const int total = std::clamp(FLAGS_requests, 50, 20000);
  const Phase p =
      RunPhase(total, std::clamp(FLAGS_concurrency, 1, 64), 0, make);
  const std::string text = stack.gateways[0]->metrics().Render();
  const double seconds =
      MetricSum(text, "turmeric_stage_upstream_seconds_total");
  const double calls = MetricSum(text, "turmeric_stage_calls_total");
  int in_time = 0;
  for (const LoadResult& r : p.results) {
    in_time += r.complete_in_time && r.latency_ms <= kRoutingDeadlineMs;
  }
  const double attainment = 100.0 * in_time / total;
  std::printf(
      "%-22s attainment=%.2f%% p50=%.1fms p99=%.1fms failed=%d "
      "upstream_ms/req=%.1f calls/req=%.3f\n",
      variant.label, attainment, p.summary.p50_ms, p.summary.p99_ms,
      p.summary.failed + p.summary.unknown, 1000 * seconds / total,
      calls / total);
  return {{"label", variant.label},
          {"attainment_percent", attainment},
          {"all", SummaryJson(p.summary)},
          {"upstream_ms_per_request", 1000 * seconds / total},
          {"calls_per_request", calls / total}};
}

}  // namespace

int RunRoutingScenario() {
  std::printf("scenario=routing requests=%d concurrency=%d deadline=%dms\n",
              FLAGS_requests, FLAGS_concurrency, kRoutingDeadlineMs);
  QJsonObject report{{"scenario", "routing"}};
  for (const auto& [name, faults] :
       {std::pair{"slow_and_dead", UpstreamFaults::kSlowAndDead},
        std::pair{"stalls", UpstreamFaults::kStalls}}) {
    std::printf("== %s\n", name);
    QJsonArray variants;
    for (const Variant& v : kVariants) variants.append(RunVariant(v, faults));
    report[name] = variants;
  }
  WriteReport(report);
  return 0;
}

}  // namespace turmeric::ctl
