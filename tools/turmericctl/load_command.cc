#include "load_command.h"

#include <gflags/gflags.h>
#include <sys/resource.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <cstdio>
#include <iostream>
#include <memory>

#include "load_phase.h"
#include "load_runner.h"
#include "report.h"
#include "turmeric/gateway/embedded_platform.h"
#include "turmeric/gateway/embedded_stack.h"
#include "turmeric/gateway/gateway_service.h"
#include "turmeric/gateway/settings_service.h"
#include "turmeric/gateway/store_service.h"
#include "turmeric/kernel/kernel.h"
#include "turmeric/standins/engine_standin.h"
#include "turmeric/store/memory_store.h"

DEFINE_string(scenario, "overhead",
              "load scenario: overhead | faults | routing | fleet | slopes");
DEFINE_int32(requests, 2000, "logical requests per phase (bounded)");
DEFINE_int32(concurrency, 16, "requests in flight at once");
DEFINE_int32(max_tokens, 4, "tokens per generation");
DEFINE_int32(instances, 3, "entry instances for the faults scenario");
DEFINE_string(report, "", "write the figures as JSON to this file");
DEFINE_uint64(seed, 20261202, "seed for the scenario's random choices");

namespace turmeric::ctl {

namespace {

int Overhead(gateway::EmbeddedStack& stack) {
  // The direct calls go in turn to the three engines that the "generate"
  // pipeline of the gateway uses, at the same concurrency.
  constexpr int kEngines = 3;
  auto engine = [&](int i) {
    return "http://127.0.0.1:" +
           QString::number(stack.embedded->engines()[i % kEngines]->port());
  };
  const int n = std::clamp(FLAGS_requests, 10, 20000);
  auto direct = [&](int i, int) {
    const std::string nonce = "#n" + std::to_string(i);
    QJsonObject body{{"prompt", QString::fromStdString("room notice " + nonce)},
                     {"max_tokens", FLAGS_max_tokens}};
    return LoadRequest{engine(i) + "/v1/completions",
                       QJsonDocument(body).toJson(QJsonDocument::Compact),
                       {{"x-request-id", QByteArray::fromStdString(nonce)}},
                       nonce,
                       "direct"};
  };
  auto via_gateway = [&](int i, int) {
    const std::string nonce = "#n" + std::to_string(i);
    QJsonObject body{{"organisation", "nile-hotels"},
                     {"input", QString::fromStdString("room notice " + nonce)},
                     {"max_tokens", FLAGS_max_tokens}};
    return LoadRequest{stack.Url(0) + "/v1/pipelines/nilelight/generate:run",
                       QJsonDocument(body).toJson(QJsonDocument::Compact),
                       {},
                       nonce,
                       "nilelight"};
  };
  const int max_in_flight = std::clamp(FLAGS_concurrency, 1, 256);
  QJsonArray rounds;
  bool no_misdelivery = true;
  std::printf("scenario=overhead requests=%d concurrency=%d max_tokens=%d\n", n,
              FLAGS_concurrency, FLAGS_max_tokens);
  for (int round = 0; round < 2; ++round) {
    Phase d = RunPhase(n, max_in_flight, 0, direct);
    Phase g = RunPhase(n, max_in_flight, 0, via_gateway);
    PrintSummary("direct engine r" + std::to_string(round), d.summary,
                 d.seconds);
    PrintSummary("gateway generate r" + std::to_string(round), g.summary,
                 g.seconds);
    const double cpu_per_req_us = (g.cpu_seconds - d.cpu_seconds) / n * 1e6;
    std::printf(
        "  ratio p50=%.3f p99=%.3f overhead_p50=%.2fms "
        "gateway_cpu_per_request=%.0fus\n",
        g.summary.p50_ms / d.summary.p50_ms,
        g.summary.p99_ms / d.summary.p99_ms,
        g.summary.p50_ms - d.summary.p50_ms, cpu_per_req_us);
    no_misdelivery = no_misdelivery && g.summary.misdelivered == 0 &&
                     d.summary.misdelivered == 0;
    rounds.append(
        QJsonObject{{"direct", SummaryJson(d.summary)},
                    {"gateway", SummaryJson(g.summary)},
                    {"ratio_p50", g.summary.p50_ms / d.summary.p50_ms},
                    {"ratio_p99", g.summary.p99_ms / d.summary.p99_ms},
                    {"gateway_cpu_per_request_us", cpu_per_req_us},
                    {"direct_rps", d.summary.count / d.seconds},
                    {"gateway_rps", g.summary.count / g.seconds}});
  }
  WriteReport({{"scenario", "overhead"}, {"rounds", rounds}});
  return no_misdelivery ? 0 : 1;
}

}  // namespace

int RunFaultsScenario();
int RunFleetScenario();
int RunRoutingScenario();
int RunSlopesScenario();

int RunLoadCommand() {
  if (FLAGS_scenario == "faults") return RunFaultsScenario();
  if (FLAGS_scenario == "fleet") return RunFleetScenario();
  if (FLAGS_scenario == "slopes") return RunSlopesScenario();
  if (FLAGS_scenario == "routing") return RunRoutingScenario();
  if (FLAGS_scenario != "overhead") {
    std::cerr << "unknown scenario " << FLAGS_scenario << "\n";
    return 2;
  }
  gateway::EmbeddedStack stack;
  if (!stack.Start(1)) {
    std::cerr << "cannot start the embedded stack\n";
    return 2;
  }
  return Overhead(stack);
}

}  // namespace turmeric::ctl
