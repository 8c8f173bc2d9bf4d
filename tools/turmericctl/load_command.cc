#include "load_command.h"

#include <gflags/gflags.h>
#include <sys/resource.h>

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <cstdio>
#include <iostream>
#include <memory>

#include "load_runner.h"
#include "turmeric/gateway/embedded_platform.h"
#include "turmeric/gateway/gateway_service.h"
#include "turmeric/gateway/settings_service.h"
#include "turmeric/gateway/store_service.h"
#include "turmeric/kernel/kernel.h"
#include "turmeric/standins/engine_standin.h"
#include "turmeric/store/memory_store.h"

DEFINE_string(scenario, "overhead", "load scenario: overhead | faults");
DEFINE_int32(requests, 2000, "logical requests per phase (bounded)");
DEFINE_int32(concurrency, 16, "requests open at once");
DEFINE_int32(max_tokens, 4, "tokens per generation");
DEFINE_int32(instances, 3, "entry instances for the faults scenario");
DEFINE_string(report, "", "write the figures as JSON to this file");
DEFINE_uint64(seed, 20261202, "seed for the scenario's random choices");

namespace turmeric::ctl {

namespace {

constexpr int kTimeCapMs = 120000;
constexpr int kDeadlineMs = 2000;

double CpuSeconds() {
  rusage u{};
  getrusage(RUSAGE_SELF, &u);
  return u.ru_utime.tv_sec + u.ru_stime.tv_sec +
         (u.ru_utime.tv_usec + u.ru_stime.tv_usec) / 1e6;
}

/** The embedded platform plus entry instances, all in this process. */
struct Stack {
  std::shared_ptr<store::MemoryStore> store =
      std::make_shared<store::MemoryStore>();
  kernel::Kernel platform;
  gateway::EmbeddedPlatform* embedded = nullptr;
  std::vector<std::unique_ptr<kernel::Kernel>> kernels;
  std::vector<gateway::GatewayService*> gateways;

  bool Start(int instances) {
    platform.Register(std::make_unique<gateway::StoreService>(store));
    embedded = static_cast<gateway::EmbeddedPlatform*>(
        platform.Register(std::make_unique<gateway::EmbeddedPlatform>(0)));
    if (!platform.StartAll()) return false;
    for (int i = 0; i < instances; ++i) {
      config::InstanceSettings s;
      s.name = "entry-" + std::to_string(i + 1);
      s.zone = "zone-" + std::string(1, char('a' + i % 3));
      s.listen_port = 0;
      auto k = std::make_unique<kernel::Kernel>();
      k->Register(std::make_unique<gateway::StoreService>(store));
      k->Register(std::make_unique<gateway::SettingsService>());
      gateways.push_back(static_cast<gateway::GatewayService*>(
          k->Register(std::make_unique<gateway::GatewayService>(s))));
      if (!k->StartAll()) return false;
      kernels.push_back(std::move(k));
    }
    return true;
  }
  QString Url(int instance) const {
    return "http://127.0.0.1:" + QString::number(gateways[instance]->port());
  }
};

QJsonObject SummaryJson(const LoadSummary& s) {
  return {{"count", s.count},
          {"attainment", s.attainment()},
          {"ran", s.ran},
          {"not_run", s.not_run},
          {"failed", s.failed},
          {"unknown", s.unknown},
          {"no_answer", s.no_answer},
          {"misdelivered", s.misdelivered},
          {"p50_ms", s.p50_ms},
          {"p99_ms", s.p99_ms}};
}

void PrintSummary(const std::string& label, const LoadSummary& s,
                  double seconds) {
  std::printf(
      "%-28s n=%5d attain=%6.2f%% p50=%7.2fms p99=%7.2fms rps=%7.1f "
      "ran=%d not_run=%d failed=%d unknown=%d no_answer=%d misdelivered=%d\n",
      label.c_str(), s.count, 100 * s.attainment(), s.p50_ms, s.p99_ms,
      seconds > 0 ? s.count / seconds : 0.0, s.ran, s.not_run, s.failed,
      s.unknown, s.no_answer, s.misdelivered);
}

struct Phase {
  LoadSummary summary;
  double seconds = 0;
  double cpu_seconds = 0;
  std::vector<LoadResult> results;
};

Phase RunPhase(int total, int concurrency, int max_retries, RequestMaker make) {
  Phase p;
  const double cpu0 = CpuSeconds();
  const auto t0 = std::chrono::steady_clock::now();
  LoadRunner runner(concurrency, total, kDeadlineMs, max_retries,
                    std::move(make));
  p.results = runner.Run(kTimeCapMs);
  p.seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - t0)
          .count();
  p.cpu_seconds = CpuSeconds() - cpu0;
  p.summary = Summarize(p.results, "");
  return p;
}

int Overhead(Stack& stack) {
  // The direct baseline spreads over the same three engines the gateway's
  // "generate" pipeline routes to, in turn, at the same concurrency.
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
  const int per_engine = std::clamp(FLAGS_concurrency, 1, 256);
  QJsonArray rounds;
  bool clean = true;
  std::printf("scenario=overhead requests=%d concurrency=%d max_tokens=%d\n", n,
              FLAGS_concurrency, FLAGS_max_tokens);
  for (int round = 0; round < 2; ++round) {
    Phase d = RunPhase(n, per_engine, 0, direct);
    Phase g = RunPhase(n, per_engine, 0, via_gateway);
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
    clean = clean && g.summary.misdelivered == 0 && d.summary.misdelivered == 0;
    rounds.append(
        QJsonObject{{"direct", SummaryJson(d.summary)},
                    {"gateway", SummaryJson(g.summary)},
                    {"ratio_p50", g.summary.p50_ms / d.summary.p50_ms},
                    {"ratio_p99", g.summary.p99_ms / d.summary.p99_ms},
                    {"gateway_cpu_per_request_us", cpu_per_req_us},
                    {"direct_rps", d.summary.count / d.seconds},
                    {"gateway_rps", g.summary.count / g.seconds}});
  }
  if (!FLAGS_report.empty()) {
    QFile f(QString::fromStdString(FLAGS_report));
    if (f.open(QIODevice::WriteOnly)) {
      f.write(QJsonDocument(
                  QJsonObject{{"scenario", "overhead"}, {"rounds", rounds}})
                  .toJson());
    }
  }
  return clean ? 0 : 1;
}

}  // namespace

int RunFaultsScenario(Stack& stack);

int RunLoadCommand() {
  Stack stack;
  const int instances =
      FLAGS_scenario == "faults" ? std::clamp(FLAGS_instances, 2, 8) : 1;
  if (!stack.Start(instances)) {
    std::cerr << "cannot start the embedded stack\n";
    return 2;
  }
  if (FLAGS_scenario == "overhead") return Overhead(stack);
  std::cerr << "unknown scenario " << FLAGS_scenario << "\n";
  return 2;
}

}  // namespace turmeric::ctl
