#pragma once

#include <QNetworkAccessManager>
#include <QTimer>
#include <memory>
#include <random>

#include "turmeric/config/instance_settings.h"
#include "turmeric/gateway/admission.h"
#include "turmeric/gateway/gateway_metrics.h"
#include "turmeric/gateway/upstream_pools.h"
#include "turmeric/http/router_server.h"
#include "turmeric/kernel/service.h"
#include "turmeric/store/resumable_watch.h"
#include "turmeric/utils/trace.h"

namespace turmeric::gateway {

class ClaimTable;
class SettingsService;
class StoreService;

/**
 * Service "gateway": the caller front (QHttpServer), admission, at-most-once
 * claims and the pipeline executor, plus the operator endpoints for
 * settings and /metrics. Routes: see docs/operations/api.md.
 */
class GatewayService : public kernel::Service {
 public:
  /** @param settings this instance's INI settings. */
  explicit GatewayService(config::InstanceSettings settings);
  ~GatewayService() override;
  std::string_view name() const override { return "gateway"; }
  utils::Result<void> Start(kernel::Kernel& kernel) override;
  void Stop() override;
  /**
   * Stops taking new work and calls `done` when nothing is in flight or the
   * drain timeout passes.
   * @param done called once.
   */
  void Drain(std::function<void()> done);
  /** @return bound port. */
  uint16_t port() const { return port_; }
  /** @return the instance's metrics. */
  GatewayMetrics& metrics() { return metrics_; }
  /** @return the instance's claims. */
  ClaimTable& claims() { return *claims_; }
  /** @return the instance's upstream pools. */
  UpstreamPools& pools() { return pools_; }
  /** Closes the listening socket at once, as a killed process would. */
  void Kill();

 private:
  void HandleRun(const QHttpServerRequest& request,
                 http::Responder&& responder);
  void HandleConfigGet(const QHttpServerRequest& request,
                       http::Responder&& responder);
  void HandleConfigPut(const QHttpServerRequest& request,
                       http::Responder&& responder);

  config::InstanceSettings settings_;
  http::RouterServer server_;
  /** Qt 6.4 opens at most 6 connections per upstream per manager; a few
   * managers lift the cap without an HTTP/2 dependency. */
  std::vector<std::unique_ptr<QNetworkAccessManager>> networks_;
  /** Non-idempotent calls: a kept connection the upstream closes just as
   * the call is sent would leave its outcome unknown, so none is kept. */
  std::vector<std::unique_ptr<QNetworkAccessManager>> fresh_networks_;
  UpstreamPools pools_;
  Admission admission_;
  GatewayMetrics metrics_;
  std::unique_ptr<utils::SpanSink> spans_;
  std::unique_ptr<ClaimTable> claims_;
  std::mt19937_64 rng_{20261202};
  SettingsService* settings_service_ = nullptr;
  StoreService* store_service_ = nullptr;
  /** The platform's (lagging) list of live and leaving upstreams. */
  std::unique_ptr<store::ResumableWatch> instance_list_;
  QTimer recover_;
  uint16_t port_ = 0;
  int64_t next_request_ = 0;
  bool killed_ = false;
};

}  // namespace turmeric::gateway
