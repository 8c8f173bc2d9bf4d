#include "turmeric/gateway/gateway_service.h"

#include <easylogging++.h>

#include <QTimer>
#include <algorithm>
#include <chrono>

#include "turmeric/gateway/answer_json.h"
#include "turmeric/gateway/drain_step.h"
#include "turmeric/gateway/membership_service.h"
#include "turmeric/gateway/settings_service.h"
#include "turmeric/gateway/store_service.h"
#include "turmeric/http/http_request.h"
#include "turmeric/kernel/kernel.h"
#include "turmeric/utils/random_id.h"

namespace turmeric::gateway {

using utils::Errc;

namespace {

/** Store key prefix of the platform's instance list: "upstreams/<ip:port>". */
constexpr std::string_view kInstanceListPrefix = "upstreams/";
constexpr std::chrono::milliseconds kClaimRetryInterval{1000};
constexpr std::chrono::milliseconds kDrainPollInterval{20};
/**
 * Time between closing the listening socket and the exit, in which requests on
 * just accepted connections arrive and are refused: one round trip within the
 * region.
 */
constexpr std::chrono::milliseconds kLastRefusalTime{100};
/**
 * Interval at which every instance deletes expired claims that it completed.
 */
constexpr std::chrono::seconds kSweepInterval{60};
/**
 * Interval at which one instance at a time lists all claims and deletes the
 * expired ones, including claims of instances that no longer exist. A listing
 * reads megabytes.
 */
constexpr std::chrono::hours kSweepAllInterval{6};
/** Maximum number of claims deleted per sweep; 10/s with kSweepInterval. */
constexpr int kMaxDeletes = 600;
constexpr int64_t kSweepLeaseMs = 90'000;
/** Maximum clock difference between instances. */
constexpr int64_t kMaxClockSkewMs = 300'000;

/** @param head a request without its body.
 * @return the answer if there is no memory for the body. */
http::ResponseMessage NoMemoryAnswer(const http::RequestMessage& head) {
  // An earlier attempt with the same key may have run.
  const auto state = http::HasHeader(head.headers, "Idempotency-Key")
                         ? utils::RunState::kUnknown
                         : utils::RunState::kNotRun;
  const int retry_after_ms = utils::RetryAfterMs(Errc::kNoMemory);
  http::ResponseMessage answer{
      .status = utils::HttpStatus(Errc::kNoMemory),
      .headers = {{"Content-Type", "application/json"}},
      .body = ErrorJson("", Errc::kNoMemory,
                        "no memory for the body; this attempt ran nothing",
                        state, retry_after_ms)
                  .toStdString()};
  for (const auto& [name, value] : AnswerHeaders("", retry_after_ms)) {
    answer.headers.push_back({name.toStdString(), value.toStdString()});
  }
  return answer;
}

}  // namespace

GatewayService::GatewayService(config::InstanceSettings settings)
    : settings_(std::move(settings)),
      server_({.max_body_bytes = settings_.max_body_bytes(),
               .request_bytes = settings_.request_bytes(),
               .partial_bytes = settings_.partial_bytes(),
               .connection_bytes = settings_.connection_bytes()}) {
  server_.set_refusal(
      [](const http::RequestMessage& head) { return NoMemoryAnswer(head); },
      [this](std::string_view reason) {
        if (run_handler_) metrics().OnReceptionRefused(reason);
      });
  server_.set_on_closed_for_new([this] {
    if (run_handler_) metrics().OnClosedForNew();
  });
  server_.set_on_rejected([this](int status) {
    if (run_handler_) metrics().OnRejected(status);
  });
}

GatewayService::~GatewayService() = default;

void GatewayService::Kill() {
  run_handler_->Kill();
  server_.AbortConnections();
}

utils::Result<void> GatewayService::Start(kernel::Kernel& kernel) {
  auto* settings_service = kernel.Find<SettingsService>("settings");
  store_ = kernel.Find<StoreService>("store");
  if (!settings_service || !store_) {
    return utils::Fail(Errc::kConfigInvalid,
                       "service gateway requires services store and settings");
  }
  membership_ = kernel.Find<MembershipService>("membership");
  run_handler_ = std::make_unique<RunHandler>(
      settings_, settings_service->tree(), *store_, server_.account(),
      [this] { return LiveInstances(); });
  config_handler_ =
      std::make_unique<ConfigHandler>(*store_, settings_service->tree());
  AddRoutes();
  port_ = server_.Listen({settings_.listen_address, settings_.listen_port});
  if (port_ == 0) {
    return utils::Fail(Errc::kIniInvalid,
                       "cannot listen on " + settings_.listen_address + ":" +
                           std::to_string(settings_.listen_port));
  }
  WatchInstanceList();
  sweep_lease_ = std::make_unique<store::DutyLease>(
      store_->store(), "claim-sweep",
      settings_.name + "#" + utils::RandomHex(16), kSweepLeaseMs);
  QObject::connect(&claim_retry_timer_, &QTimer::timeout,
                   [this] { run_handler_->RetryPendingClaims(); });
  claim_retry_timer_.start(kClaimRetryInterval);
  QObject::connect(&sweep_timer_, &QTimer::timeout,
                   [this] { SweepClaims(false); });
  sweep_timer_.start(kSweepInterval);
  QObject::connect(&sweep_all_timer_, &QTimer::timeout,
                   [this] { SweepClaims(true); });
  sweep_all_timer_.start(kSweepAllInterval);
  LOG(INFO) << "event=serving instance=" << settings_.name
            << " zone=" << settings_.zone << " port=" << port_;
  return boost::outcome_v2::success();
}

void GatewayService::AddRoutes() {
  server_.Route("POST", std::string(kRunPrefix),
                [this](const auto& r, auto&& w) {
                  run_handler_->Handle(r, std::move(w));
                });
  server_.Route("GET", std::string(kConfigPath),
                [this](const auto& r, auto&& w) {
                  config_handler_->HandleGet(r, std::move(w));
                });
  server_.Route("PUT", std::string(kConfigPath),
                [this](const auto& r, auto&& w) {
                  config_handler_->HandlePut(r, std::move(w));
                });
  server_.Route("GET", std::string(kResolvedPath),
                [this](const auto& r, auto&& w) {
                  config_handler_->HandleResolved(r, std::move(w));
                });
  server_.Route("GET", "/metrics", [this](const auto&, auto&& w) {
    w.WriteResponse(200, "text/plain; version=0.0.4",
                    QByteArray::fromStdString(metrics().Render()));
  });
  server_.Route("GET", "/healthz", [this](const auto&, auto&& w) {
    const char* state = stopping_               ? "draining"
                        : run_handler_->ready() ? "serving"
                                                : "starting";
    constexpr int kOk = 200;
    constexpr int kUnavailable = 503;
    http::WriteJson(w,
                    state == std::string_view("serving") ? kOk : kUnavailable,
                    QByteArray(R"({"state":")") + state + R"(","members":)" +
                        QByteArray::number(LiveInstances()) + "}");
  });
  server_.Route("POST", "/admin/drain", [this](const auto&, auto&& w) {
    Drain([] {});
    http::WriteJson(w, 202, R"({"state":"draining"})");
  });
}

void GatewayService::WatchInstanceList() {
  // The instance list lags the upstream's own state. New calls to a leaving
  // upstream stop at its entry in the list or at its refusal with x-leaving,
  // whichever is earlier.
  instance_list_ = std::make_unique<store::ResumableWatch>(
      store_->store(), std::string(kInstanceListPrefix),
      [this](const store::StoredObject& entry) {
        const std::string address =
            entry.key.substr(kInstanceListPrefix.size());
        instance_list_revisions_.Apply(entry);
        const bool leaving =
            !entry.deleted && entry.value.find("leaving") != std::string::npos;
        // Watch callbacks run on a store thread; upstream state belongs to the
        // event loop.
        QMetaObject::invokeMethod(
            run_handler_.get(),
            [this, address, leaving] {
              run_handler_->pools().SetLeaving(address, leaving);
              LOG(INFO) << "event=upstream_listed address=" << address
                        << " state=" << (leaving ? "leaving" : "live");
            },
            Qt::QueuedConnection);
      },
      [this] { return instance_list_revisions_.Snapshot(); });
  (void)instance_list_->Arm();
  instance_list_keeper_ = std::make_unique<store::WatchKeeper>(
      *instance_list_, store_->executor(), "instance_list");
  instance_list_keeper_->Start();
}

void GatewayService::SweepClaims(bool all) {
  store_->executor().Run(
      run_handler_.get(),
      [this, all] {
        constexpr int64_t kMicrosPerMs = 1000;
        const int64_t now = utils::NowUnixMicros() / kMicrosPerMs;
        if (!all) return claims().SweepOwn(now - kMaxClockSkewMs, kMaxDeletes);
        if (!sweep_lease_->AcquireOrRenew(now)) return 0;
        auto swept = claims().Sweep(now - kMaxClockSkewMs, kMaxDeletes);
        return swept ? swept.value() : 0;
      },
      [](int) {});
}

int GatewayService::LiveInstances() const {
  return membership_ != nullptr ? membership_->live_count() : 1;
}

void GatewayService::Stop() {
  claim_retry_timer_.stop();
  sweep_timer_.stop();
  sweep_all_timer_.stop();
  instance_list_keeper_.reset();
  store_->executor().WaitIdle();
  instance_list_.reset();
}

void GatewayService::Drain(std::function<void()> done) {
  using std::chrono::milliseconds;
  if (!stopping_) {
    LOG(INFO) << "event=draining inflight="
              << run_handler_->admission().inflight();
    stopping_ = true;
    if (membership_ != nullptr) membership_->Leave();
  }
  // Guard: the balancer sends new connections for a while after the health
  // check fails. Refusing them at once would use up the callers' retries on an
  // instance that can still serve; within the grace period they are served.
  const auto drain_start = std::chrono::steady_clock::now();
  if (settings_.drain_grace_ms == 0) run_handler_->admission().StartDrain();
  // The timer is a child of run_handler_: a poll after the destruction of this
  // service would access freed memory.
  auto* poll = new QTimer(run_handler_.get());
  poll->setInterval(kDrainPollInterval);
  QObject::connect(
      poll, &QTimer::timeout,
      [this, poll, drain_start, done, aborted = 0]() mutable {
        const DrainStep step = NextDrainStep(
            {std::chrono::duration_cast<milliseconds>(
                 std::chrono::steady_clock::now() - drain_start),
             milliseconds(settings_.drain_grace_ms),
             milliseconds(settings_.drain_timeout_ms),
             // Claims not yet written count as in flight: if they were lost
             // with the process, a retry would not get the answer.
             !run_handler_->idle(), server_.unsent() > 0});
        if (step == DrainStep::kServe) return;
        run_handler_->admission().StartDrain();
        if (step == DrainStep::kDrainInFlight) return;
        aborted += run_handler_->AbortOpenRequests();
        if (step == DrainStep::kAnswerRemaining) return;
        LOG(INFO) << "event=drained inflight=" << aborted
                  << " claims_pending=" << claims().pending();
        poll->stop();
        poll->deleteLater();
        done();
      });
  poll->start();
}

void GatewayService::Close(std::function<void()> done) {
  // Accepts pending connections first: closing the socket would reset them
  // together with their requests.
  server_.CloseListener();
  QTimer::singleShot(kLastRefusalTime, run_handler_.get(), std::move(done));
}

}  // namespace turmeric::gateway
