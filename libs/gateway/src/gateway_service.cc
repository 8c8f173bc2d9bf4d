#include "turmeric/gateway/gateway_service.h"

#include <easylogging++.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <algorithm>
#include <chrono>

#include "turmeric/gateway/drain_step.h"
#include "turmeric/gateway/membership_service.h"
#include "turmeric/gateway/settings_service.h"
#include "turmeric/gateway/store_service.h"
#include "turmeric/kernel/kernel.h"
#include "turmeric/utils/random_id.h"

namespace turmeric::gateway {

using utils::Errc;

namespace {

/** Store prefix of the platform's instance list: "upstreams/<ip:port>". */
constexpr std::string_view kInstanceListPrefix = "upstreams/";
constexpr std::chrono::milliseconds kRecoverEvery{1000};
constexpr std::chrono::milliseconds kDrainPollEvery{20};
/** Time for a request whose caller connected just before the listening socket
 * was closed to arrive and be refused: a round trip in the region. */
constexpr std::chrono::milliseconds kLastRefusals{100};
/** Every instance deletes the old claims it completed, this often. */
constexpr std::chrono::seconds kSweepEvery{60};
/** One at a time lists all claims for what others left behind: megabytes at
 * a time, so rarely. */
constexpr std::chrono::hours kSweepAllEvery{6};
/** Claims deleted at one go: 10/s. */
constexpr int kSweepMost = 600;
constexpr int64_t kSweepLeaseMs = 90'000;
/** Clocks of instances may differ by this much. */
constexpr int64_t kClockMarginMs = 300'000;

}  // namespace

GatewayService::GatewayService(config::InstanceSettings settings)
    : settings_(std::move(settings)) {}

GatewayService::~GatewayService() = default;

void GatewayService::Kill() {
  runs_->Kill();
  for (QTcpServer* s : server_.servers()) s->close();
  for (QTcpSocket* s : server_.findChildren<QTcpSocket*>()) s->abort();
}

utils::Result<void> GatewayService::Start(kernel::Kernel& kernel) {
  auto* settings_service = kernel.Find<SettingsService>("settings");
  store_ = kernel.Find<StoreService>("store");
  if (!settings_service || !store_) {
    return utils::Fail(Errc::kConfigInvalid,
                       "gateway needs store and settings");
  }
  members_ = kernel.Find<MembershipService>("membership");
  runs_ =
      std::make_unique<RunHandler>(settings_, settings_service->tree(), *store_,
                                   [this] { return LiveInstances(); });
  config_ = std::make_unique<ConfigHandler>(*store_, settings_service->tree());
  AddRoutes();
  port_ = server_.listen(
      QHostAddress(QString::fromStdString(settings_.listen_address)),
      settings_.listen_port);
  if (port_ == 0) {
    return utils::Fail(Errc::kIniInvalid,
                       "cannot listen on " + settings_.listen_address + ":" +
                           std::to_string(settings_.listen_port));
  }
  WatchInstanceList();
  sweep_duty_ = std::make_unique<store::DutyLease>(
      store_->store(), "claim-sweep",
      settings_.name + "#" + utils::RandomHex(16), kSweepLeaseMs);
  QObject::connect(&recover_, &QTimer::timeout, [this] { runs_->Recover(); });
  recover_.start(kRecoverEvery);
  QObject::connect(&sweep_, &QTimer::timeout, [this] { SweepClaims(false); });
  sweep_.start(kSweepEvery);
  QObject::connect(&sweep_all_, &QTimer::timeout,
                   [this] { SweepClaims(true); });
  sweep_all_.start(kSweepAllEvery);
  LOG(INFO) << "event=serving instance=" << settings_.name
            << " zone=" << settings_.zone << " port=" << port_;
  return boost::outcome_v2::success();
}

void GatewayService::AddRoutes() {
  using M = QHttpServerRequest::Method;
  server_.Route(
      M::Post, std::string(kRunPrefix),
      [this](const auto& r, auto&& w) { runs_->Handle(r, std::move(w)); });
  server_.Route(
      M::Get, std::string(kConfigPath),
      [this](const auto& r, auto&& w) { config_->HandleGet(r, std::move(w)); });
  server_.Route(
      M::Put, std::string(kConfigPath),
      [this](const auto& r, auto&& w) { config_->HandlePut(r, std::move(w)); });
  server_.Route(M::Get, std::string(kResolvedPath),
                [this](const auto& r, auto&& w) {
                  config_->HandleResolved(r, std::move(w));
                });
  server_.Route(M::Get, "/metrics", [this](const auto&, auto&& w) {
    w.WriteResponse(200, "text/plain; version=0.0.4",
                    QByteArray::fromStdString(metrics().Render()));
  });
  server_.Route(M::Get, "/healthz", [this](const auto&, auto&& w) {
    const char* state = leaving_         ? "draining"
                        : runs_->ready() ? "serving"
                                         : "starting";
    constexpr int kOk = 200;
    constexpr int kUnavailable = 503;
    http::WriteJson(w,
                    state == std::string_view("serving") ? kOk : kUnavailable,
                    QByteArray(R"({"state":")") + state + R"(","members":)" +
                        QByteArray::number(LiveInstances()) + "}");
  });
  server_.Route(M::Post, "/admin/drain", [this](const auto&, auto&& w) {
    Drain([] {});
    http::WriteJson(w, 202, R"({"state":"draining"})");
  });
}

void GatewayService::WatchInstanceList() {
  // The list lags the upstream's own state; our other signal is the
  // upstream's x-leaving refusal. Whichever comes first stops new work.
  instance_list_ = std::make_unique<store::ResumableWatch>(
      store_->store(), std::string(kInstanceListPrefix),
      [this](const store::StoredObject& entry) {
        const std::string address =
            entry.key.substr(kInstanceListPrefix.size());
        listed_.Note(entry);
        const bool leaving =
            !entry.deleted && entry.value.find("leaving") != std::string::npos;
        // Watch events come on a store thread; upstream state belongs to the
        // event loop.
        QMetaObject::invokeMethod(
            runs_.get(),
            [this, address, leaving] {
              runs_->pools().SetLeaving(address, leaving);
              LOG(INFO) << "event=upstream_listed address=" << address
                        << " state=" << (leaving ? "leaving" : "live");
            },
            Qt::QueuedConnection);
      },
      [this] { return listed_.Held(); });
  (void)instance_list_->Arm();
  instance_list_keeper_ = std::make_unique<store::WatchKeeper>(
      *instance_list_, store_->executor(), "instance_list");
  instance_list_keeper_->Start();
}

void GatewayService::SweepClaims(bool all) {
  store_->executor().Run(
      runs_.get(),
      [this, all] {
        constexpr int64_t kMicrosPerMs = 1000;
        const int64_t now = utils::NowUnixMicros() / kMicrosPerMs;
        if (!all) return claims().SweepOwn(now - kClockMarginMs, kSweepMost);
        if (!sweep_duty_->Hold(now)) return 0;
        auto swept = claims().Sweep(now - kClockMarginMs, kSweepMost);
        return swept ? swept.value() : 0;
      },
      [](int) {});
}

int GatewayService::LiveInstances() const {
  return members_ != nullptr ? members_->live_count() : 1;
}

void GatewayService::Stop() {
  recover_.stop();
  sweep_.stop();
  sweep_all_.stop();
  instance_list_keeper_.reset();
  store_->executor().WaitIdle();
  instance_list_.reset();
}

bool GatewayService::FlushAnswers() {
  const auto sockets = server_.findChildren<QTcpSocket*>();
  for (QTcpSocket* s : sockets) s->flush();
  return std::ranges::all_of(
      sockets, [](const QTcpSocket* s) { return s->bytesToWrite() == 0; });
}

void GatewayService::Drain(std::function<void()> done) {
  using std::chrono::milliseconds;
  if (!leaving_) {
    LOG(INFO) << "event=draining inflight=" << runs_->admission().inflight();
    leaving_ = true;
    if (members_ != nullptr) members_->Leave();
  }
  // Guard: the balancer sends new connections for a while after the health
  // check fails. Refused at once, requests spent their resends on an instance
  // that could still serve them; within the grace they are served.
  const auto began = std::chrono::steady_clock::now();
  if (settings_.drain_grace_ms == 0) runs_->admission().StartDrain();
  // Owned: a poll that outlived this service would work on freed memory.
  auto* poll = new QTimer(runs_.get());
  poll->setInterval(kDrainPollEvery);
  QObject::connect(
      poll, &QTimer::timeout, [this, poll, began, done, cut = 0]() mutable {
        const DrainStep step = NextDrainStep(
            {std::chrono::duration_cast<milliseconds>(
                 std::chrono::steady_clock::now() - began),
             milliseconds(settings_.drain_grace_ms),
             milliseconds(settings_.drain_timeout_ms),
             // Claims not yet written count as in flight: gone with the
             // process, they would leave a retry without the answer.
             !runs_->idle(), !FlushAnswers()});
        if (step == DrainStep::kServe) return;
        runs_->admission().StartDrain();
        if (step == DrainStep::kFinish) return;
        cut += runs_->EndOpen();
        if (step == DrainStep::kAnswerOpen) return;
        // Answered only now if the process was held up until its time was up.
        FlushAnswers();
        LOG(INFO) << "event=drained inflight=" << cut
                  << " claims_pending=" << claims().pending();
        poll->stop();
        poll->deleteLater();
        done();
      });
  poll->start();
}

void GatewayService::Close(std::function<void()> done) {
  for (QTcpServer* s : server_.servers()) {
    // Connections not accepted yet would be reset, request and all.
    s->waitForNewConnection(0);
    s->close();
  }
  QTimer::singleShot(kLastRefusals, runs_.get(),
                     [this, done = std::move(done)] {
                       FlushAnswers();
                       done();
                     });
}

}  // namespace turmeric::gateway
