// `turmericctl load --scenario=slopes`, run by scripts/fleet.sh: CPU time of
// one instance per request, for requests that differ in stages and streamed
// tokens. The CPU time is read from /metrics of the instance. The figures are
// meant for docs/CAPACITY.md.
#include <gflags/gflags.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QNetworkAccessManager>
#include <algorithm>
#include <cstdio>

#include "balancer.h"
#include "fleet.h"
#include "load_phase.h"
#include "report.h"
#include "turmeric/http/http_call.h"

DECLARE_int32(requests);

namespace turmeric::ctl {

namespace {

/** Kind of request whose cost is measured. */
struct SlopeCase {
  const char* label;
  const char* pipeline;
  int max_tokens;
  bool stream;
  bool keyed;
};

constexpr SlopeCase kCases[] = {
    {"1 stage", "generate", 4, false, false},
    {"4 stages", "translate-notice", 4, false, false},
    {"2 stages, keyed", "print-notice", 4, false, true},
    {"1 stage, 16 tokens streamed", "generate", 16, true, false},
    {"1 stage, 128 tokens streamed", "generate", 128, true, false},
};

double InstanceCpu(QNetworkAccessManager& network, const QString& url) {
  const http::HttpResponse a = http::HttpCall(network, "GET", url + "/metrics");
  return MetricSum(a.body.toStdString(), "turmeric_process_cpu_seconds");
}

double MeasureMs(Fleet& fleet, QNetworkAccessManager& network,
                 const SlopeCase& c, int run) {
  const QString url = fleet.urls().front();
  auto make = [&](int i, int) {
    const std::string nonce = "#n" + std::to_string(i);
    QJsonObject body{{"organisation", "nile-hotels"},
                     {"input", QString::fromStdString("notice " + nonce)},
                     {"max_tokens", c.max_tokens},
                     {"stream", c.stream}};
    QList<QPair<QByteArray, QByteArray>> headers;
    if (c.keyed) {
      headers.append({"Idempotency-Key",
                      QByteArray::number(run) + "-" + QByteArray::number(i)});
    }
    return LoadRequest{url + "/v1/pipelines/nilelight/" + c.pipeline + ":run",
                       QJsonDocument(body).toJson(QJsonDocument::Compact),
                       headers, nonce, "nilelight"};
  };
  // Streams take longer and send more tokens each, so fewer are measured.
  constexpr int kStreamShare = 4;
  const int total =
      std::clamp(FLAGS_requests / (c.stream ? kStreamShare : 1), 50, 5000);
  constexpr int kConcurrency = 8;
  const double before = InstanceCpu(network, url);
  const Phase p = RunPhase(total, kConcurrency, 0, make);
  const double cpu = InstanceCpu(network, url) - before;
  constexpr double kMsPerSecond = 1000.0;
  std::printf("  %-30s cpu=%.3f ms/request ran=%d of %d\n", c.label,
              kMsPerSecond * cpu / total, p.summary.ran, total);
  return kMsPerSecond * cpu / total;
}

}  // namespace

int RunSlopesScenario() {
  Fleet fleet;
  if (!fleet.Start()) return 2;
  Balancer balancer(fleet.urls());
  for (int waited = 0; waited < 15000 && !balancer.healthy(0); waited += 100) {
    RunFor(100);
  }
  QNetworkAccessManager network;
  std::printf("scenario=slopes requests=%d per case\n", FLAGS_requests);
  QJsonObject report{{"scenario", "slopes"}};
  int run = 0;
  for (int round = 0; round < 2; ++round) {
    for (const SlopeCase& c : kCases) {
      report[QString(c.label) + " r" + QString::number(round)] =
          MeasureMs(fleet, network, c, ++run);
    }
    const double idle_before = InstanceCpu(network, fleet.urls().back());
    constexpr int kIdleMs = 5000;
    RunFor(kIdleMs);
    const double idle = InstanceCpu(network, fleet.urls().back()) - idle_before;
    std::printf("  idle instance                  cpu=%.3f %% of a core\n",
                100.0 * idle * 1000 / kIdleMs);
  }
  WriteReport(report);
  return 0;
}

}  // namespace turmeric::ctl
