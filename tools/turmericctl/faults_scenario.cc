// `turmericctl load --scenario=faults`: checks the delivery guarantees under
// faults, with the default policy and with a baseline policy in the same run.
#include <gflags/gflags.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QTimer>
#include <cstdio>
#include <map>

#include "load_phase.h"
#include "report.h"
#include "traffic_mix.h"
#include "turmeric/config/settings_tree.h"
#include "turmeric/gateway/embedded_platform.h"
#include "turmeric/gateway/embedded_stack.h"
#include "turmeric/gateway/gateway_metrics.h"
#include "turmeric/gateway/gateway_service.h"
#include "turmeric/standins/engine_standin.h"
#include "turmeric/standins/service_standin.h"
#include "turmeric/store/memory_store.h"
#include "verdict.h"

DECLARE_int32(requests);
DECLARE_int32(concurrency);
DECLARE_int32(instances);
DECLARE_uint64(seed);

namespace turmeric::ctl {

namespace {

QJsonObject RunOnce(const std::string& label, bool baseline, int run_index) {
  gateway::EmbeddedStack stack;
  const int instances = std::clamp(FLAGS_instances, 2, 8);
  if (!stack.Start(instances)) return {{"error", "cannot start"}};
  if (baseline) {
    // The baseline has round-robin routing, no retries, no admission limits and
    // no load shedding.
    stack.store->Put(
        config::SettingsKey("group", "", ""),
        "deadline_ms = 6000\nmax_inflight = 1000000\nrouting = round_robin\n"
        "retry_budget_percent = 0\nmin_stage_ms = 0\n",
        store::kAnyVersion);
    for (const char* b : {"nilelight", "arvoredo"}) {
      auto biz = stack.store->Get(config::SettingsKey("business", b, ""));
      std::string v = biz.value().value;
      v += "retry_budget_percent = 0\n";
      stack.store->Put(config::SettingsKey("business", b, ""), v,
                       store::kAnyVersion);
    }
    for (auto [b, o] : {std::pair{"nilelight", "nile-clinics"},
                        std::pair{"arvoredo", "parish-bonfim"}}) {
      stack.store->Put(config::SettingsKey("organisation", b, o), "",
                       store::kAnyVersion);
    }
  }
  const auto& engines = stack.embedded->engines();
  const auto& services = stack.embedded->services();
  const int total = std::clamp(FLAGS_requests, 50, 20000);
  auto make = [&](int i, int attempt) {
    // A retry of a caller goes to another instance, as with a load balancer.
    return MixRequest(stack.Url((i + attempt) % instances), run_index, i);
  };
  // Fault schedule, in ms after the start of the run.
  std::vector<std::unique_ptr<QTimer>> timers;
  auto at = [&](int ms, std::function<void()> action) {
    auto t = std::make_unique<QTimer>();
    t->setSingleShot(true);
    // Faults must start at the scheduled time.
    t->setTimerType(Qt::PreciseTimer);
    QObject::connect(t.get(), &QTimer::timeout, action);
    t->start(ms);
    timers.push_back(std::move(t));
  };
  at(300, [&] {
    services[6]->SetFaults({.slow_factor = 20});
  });  // one stage service becomes 20 times slower
  at(800, [&] {
    stack.store->SetFaults(
        {.outage = false, .lose_answer_rate = 0.3, .seed = FLAGS_seed});
  });
  // One engine per business leaves: the list of the platform shows "leaving"
  // after 300 ms, and the engine refuses new work 1 s after that.
  constexpr int kLeaveAt = 1000;
  constexpr int kListLagMs = 300;
  constexpr int kGraceMs = 1000;
  for (int e : {0, 3}) {
    at(kLeaveAt, [&, e] {
      stack.embedded->PublishInstanceState(
          "127.0.0.1:" + std::to_string(engines[e]->port()), true, kListLagMs);
    });
    at(kLeaveAt + kListLagMs + kGraceMs,
       [&, e] { engines[e]->SetFaults({.leaving = true}); });
  }
  // Calls that an engine receives after all instances have received the list
  // (kListLagMs and 100 ms for the event loop) count as sent to a leaving
  // upstream.
  int64_t received_at_list[2] = {0, 0};
  at(kLeaveAt + kListLagMs + 100, [&] {
    received_at_list[0] = engines[0]->received();
    received_at_list[1] = engines[3]->received();
  });
  at(1200, [&] { stack.gateways[instances - 1]->Kill(); });
  at(1500,
     [&] { stack.store->SetFaults({.outage = true, .seed = FLAGS_seed}); });
  at(2000, [&] { stack.store->SetFaults({.seed = FLAGS_seed}); });
  at(2300, [&] { services[6]->SetFaults({}); });
  Phase p = RunPhase(total, std::clamp(FLAGS_concurrency, 1, 256), 2, make);

  Verdict v = CheckDelivery(p.results, run_index, *stack.embedded);
  v.sent_to_leaving = engines[0]->received() - received_at_list[0] +
                      engines[3]->received() - received_at_list[1];
  std::map<std::string, double> cost;
  for (gateway::GatewayService* g : stack.gateways) {
    const std::string text = g->metrics().Render();
    v.misdelivered +=
        static_cast<int64_t>(MetricSum(text, "turmeric_misdelivered_total"));
    for (const char* b : {"nilelight", "arvoredo"}) {
      for (const char* st :
           {"encode", "retrieve", "rerank", "generate", "print", "record"}) {
        const std::string key = std::string(b) + "/" + st;
        cost[key] += MetricSum(
            text, "turmeric_stage_upstream_seconds_total{business=\"" +
                      std::string(b) + "\",stage=\"" + st + "\"}");
      }
    }
  }
  std::printf("== %s\n", label.c_str());
  PrintSummary("  all", p.summary, p.seconds);
  QJsonObject per_business;
  for (const char* b : {"nilelight", "arvoredo"}) {
    const LoadSummary s = Summarize(p.results, b);
    PrintSummary(std::string("  ") + b, s, p.seconds);
    per_business[b] = SummaryJson(s);
  }
  PrintVerdict(v);
  QJsonObject cost_json;
  std::printf("  upstream seconds by business/stage:");
  for (const auto& [k, s] : cost) {
    if (s <= 0) continue;
    std::printf(" %s=%.2f", k.c_str(), s);
    cost_json[QString::fromStdString(k)] = s;
  }
  std::printf("\n");
  return {
      {"label", QString::fromStdString(label)}, {"all", SummaryJson(p.summary)},
      {"per_business", per_business},           {"verdict", VerdictJson(v)},
      {"upstream_seconds", cost_json},          {"invariants_held", v.held()}};
}

}  // namespace

int RunFaultsScenario() {
  std::printf(
      "scenario=faults requests=%d concurrency=%d instances=%d seed=%llu\n",
      FLAGS_requests, FLAGS_concurrency, FLAGS_instances,
      static_cast<unsigned long long>(FLAGS_seed));
  const QJsonObject policy =
      RunOnce("policy (p2c_ewma, hedging, retry budget, admission, shedding)",
              false, 0);
  const QJsonObject base =
      RunOnce("baseline (round-robin, no retries, no admission)", true, 1);
  WriteReport({{"scenario", "faults"}, {"policy", policy}, {"baseline", base}});
  return policy.value("invariants_held").toBool() &&
                 base.value("invariants_held").toBool()
             ? 0
             : 1;
}

}  // namespace turmeric::ctl
