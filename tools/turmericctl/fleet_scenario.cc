// `turmericctl load --scenario=fleet`: instances in processes of their own,
// started by scripts/fleet.sh; stand-ins for the systems that they call run in
// this process. Faults are signals to instances and faults of the platform's
// store.
#include <gflags/gflags.h>
#include <signal.h>

#include <QJsonDocument>
#include <QNetworkReply>
#include <QTimer>
#include <algorithm>
#include <cstdio>
#include <map>

#include "balancer.h"
#include "fleet.h"
#include "load_phase.h"
#include "report.h"
#include "traffic_mix.h"
#include "turmeric/config/settings_tree.h"
#include "turmeric/gateway/embedded_platform.h"
#include "turmeric/http/http_call.h"
#include "turmeric/store/memory_store.h"
#include "verdict.h"

DECLARE_int32(requests);
DECLARE_int32(concurrency);
DECLARE_uint64(seed);
DEFINE_bool(faults, true, "fleet: run the fault schedule");

namespace turmeric::ctl {

namespace {

using standins::PlatformFaults;

/** Index of the instance that each fault or change is applied to. */
enum FaultTarget : size_t {
  kKilled = 0,
  kPaused = 1,
  kStopped = 2,
  kOperated = 3  ///< Receives the settings change.
};

/** Writes one settings change and measures when it is in force on each
 * instance. */
class ConfigProbe : public QObject {
 public:
  ConfigProbe(Fleet& fleet, Balancer& balancer)
      : fleet_(fleet), balancer_(balancer) {
    connect(&poll_, &QTimer::timeout, this, [this] { Poll(); });
  }
  /** Writes the change through instance kOperated, as an operator does. */
  void Begin() {
    constexpr const char* kKey = "organisation/nilelight/nile-clinics";
    auto stored =
        fleet_.memory().Get(config::kConfigPrefix.data() + std::string(kKey));
    QNetworkRequest put(QUrl(fleet_.urls()[kOperated] + "/v1/config/" + kKey));
    put.setRawHeader("If-Match", QByteArray::number(static_cast<qlonglong>(
                                     stored ? stored.value().version : 0)));
    put.setHeader(QNetworkRequest::ContentTypeHeader, "text/plain");
    QNetworkReply* reply = network_.put(put, "max_inflight = 33");
    connect(reply, &QNetworkReply::finished, this, [this, reply] {
      accepted_ = reply->error() == QNetworkReply::NoError;
      revision_ = QJsonDocument::fromJson(reply->readAll())
                      .object()
                      .value("revision")
                      .toDouble();
      reply->deleteLater();
      accepted_at_ = std::chrono::steady_clock::now();
      if (accepted_) poll_.start(5);
    });
  }
  bool accepted() const { return accepted_; }
  /** @return time until the change was in force on the last instance, ms. */
  double slowest_ms() const { return slowest_ms_; }
  /** @return number of instances on which the change was in force. */
  size_t in_force() const { return in_force_.size(); }
  /** @return number of polls that showed an older revision after the change was
   * in force on the instance. */
  int reverted() const { return reverted_; }

 private:
  void Poll() {
    for (size_t i = 0; i < fleet_.urls().size(); ++i) {
      if (!balancer_.healthy(static_cast<int>(i))) continue;
      QNetworkRequest get(
          QUrl(fleet_.urls()[i] +
               "/v1/resolved/nilelight/translate-notice/nile-clinics"));
      get.setTransferTimeout(1000);
      QNetworkReply* reply = network_.get(get);
      connect(reply, &QNetworkReply::finished, this, [this, reply, i] {
        const auto json = QJsonDocument::fromJson(reply->readAll()).object();
        reply->deleteLater();
        if (!json.contains("revision")) return;
        const bool now = json.value("revision").toDouble() >= revision_;
        if (!now && in_force_.contains(i)) ++reverted_;
        if (now && in_force_.emplace(i, true).second) {
          slowest_ms_ = std::chrono::duration<double, std::milli>(
                            std::chrono::steady_clock::now() - accepted_at_)
                            .count();
        }
      });
    }
    poll_.setInterval(in_force_.empty() ? 5 : 50);
  }

  Fleet& fleet_;
  Balancer& balancer_;
  QNetworkAccessManager network_;
  QTimer poll_;
  std::chrono::steady_clock::time_point accepted_at_;
  std::map<size_t, bool> in_force_;
  double revision_ = 0;
  double slowest_ms_ = 0;
  int reverted_ = 0;
  bool accepted_ = false;
};

}  // namespace

int RunFleetScenario() {
  Fleet fleet;
  if (!fleet.Start()) {
    std::fprintf(
        stderr,
        "fleet: cannot start; needs --targets and --pids of at least 4 "
        "instances; run scripts/fleet.sh\n");
    return 2;
  }
  Balancer balancer(fleet.urls());
  const int size = static_cast<int>(fleet.urls().size());
  for (int waited = 0; waited < 15000 && balancer.healthy() < size;
       waited += 100) {
    RunFor(100);
  }
  std::printf(
      "scenario=fleet instances=%d ready=%d requests=%d concurrency=%d "
      "faults=%d\n",
      size, balancer.healthy(), FLAGS_requests, FLAGS_concurrency,
      FLAGS_faults);
  ConfigProbe config(fleet, balancer);
  QObject schedule;
  auto at = [&](int ms, std::function<void()> action) {
    QTimer::singleShot(ms, Qt::PreciseTimer, &schedule, std::move(action));
  };
  QNetworkAccessManager network;
  const store::StoreCallCounts before = fleet.memory().counts();
  if (FLAGS_faults) {
    PlatformFaults silent;
    silent.silent = true;
    PlatformFaults outage;
    outage.store.outage = true;
    PlatformFaults lossy;
    lossy.store = {.lose_answer_rate = 0.3, .seed = FLAGS_seed};
    at(800, [&] { fleet.Signal(kPaused, SIGSTOP); });
    at(1200, [&] { fleet.Signal(kKilled, SIGKILL); });
    at(2000, [&fleet, silent] { fleet.SetStoreFaults(silent); });
    at(3000, [&] { fleet.Signal(kPaused, SIGCONT); });
    at(3500, [&] { fleet.SetStoreFaults({}); });
    at(4500, [&fleet, lossy] { fleet.SetStoreFaults(lossy); });
    at(5000, [&] { fleet.Signal(kStopped, SIGTERM); });
    at(6000, [&fleet, outage] { fleet.SetStoreFaults(outage); });
    at(6500, [&] { fleet.SetStoreFaults({}); });
    at(7000, [&] { config.Begin(); });
  } else {
    at(1000, [&] { config.Begin(); });
  }
  auto make = [&](int i, int) { return MixRequest(balancer.Next(), 0, i); };
  const Phase p = RunPhase(std::clamp(FLAGS_requests, 50, 50000),
                           std::clamp(FLAGS_concurrency, 1, 256), 3, make);
  RunFor(FLAGS_faults ? std::max(0, 8500 - static_cast<int>(p.seconds * 1000))
                      : 500);
  const store::StoreCallCounts after = fleet.memory().counts();
  PrintSummary("  all", p.summary, p.seconds);
  for (const char* b : {"nilelight", "arvoredo"}) {
    PrintSummary(std::string("  ") + b, Summarize(p.results, b), p.seconds);
  }
  // Connections that instances other than the killed one ended without an
  // answer: a planned stop, a pause or a store fault must not cause any.
  const int killed_port =
      FLAGS_faults ? QUrl(fleet.urls()[kKilled]).port() : -1;
  int cut = 0;
  for (const LoadResult& r : p.results) {
    cut += static_cast<int>(std::ranges::count_if(
        r.cut_ports, [&](int port) { return port != killed_port; }));
  }
  const http::HttpResponse health =
      http::HttpCall(network, "GET", fleet.urls().back() + "/healthz");
  const int members =
      QJsonDocument::fromJson(health.body).object().value("members").toInt();
  const Verdict v = CheckDelivery(p.results, 0, fleet.embedded());
  PrintVerdict(v);
  std::printf("  members counted by the last instance: %d\n", members);
  std::printf("  requests cut other than by the kill: %d\n", cut);
  std::printf(
      "  settings change: accepted=%d in force on %zu of %d in rotation, "
      "slowest %.0f ms, reverted %d\n",
      config.accepted(), config.in_force(), balancer.healthy(),
      config.slowest_ms(), config.reverted());
  std::printf("  store calls: reads=%lld writes=%lld watches=%lld\n",
              static_cast<long long>(after.reads - before.reads),
              static_cast<long long>(after.writes - before.writes),
              static_cast<long long>(after.watches - before.watches));
  const bool held =
      v.held() && cut == 0 && config.accepted() && config.reverted() == 0 &&
      config.in_force() >= static_cast<size_t>(balancer.healthy());
  WriteReport({{"scenario", "fleet"},
               {"all", SummaryJson(p.summary)},
               {"verdict", VerdictJson(v)},
               {"config_slowest_ms", config.slowest_ms()},
               {"held", held}});
  std::printf("  promises held: %s\n", held ? "yes" : "NO");
  return held ? 0 : 1;
}

}  // namespace turmeric::ctl
