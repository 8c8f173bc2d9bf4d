#pragma once

#include <QTimer>
#include <functional>
#include <memory>

#include "turmeric/config/instance_settings.h"
#include "turmeric/gateway/config_handler.h"
#include "turmeric/gateway/run_handler.h"
#include "turmeric/http/router_server.h"
#include "turmeric/kernel/service.h"
#include "turmeric/store/duty_lease.h"
#include "turmeric/store/known_revisions.h"
#include "turmeric/store/resumable_watch.h"
#include "turmeric/store/watch_keeper.h"

namespace turmeric::gateway {

class MembershipService;
class StoreService;

/**
 * Service "gateway": the HTTP server for callers and its handlers, the watch on
 * the platform's instance list, the sweep of expired claims and the planned
 * stop. Routes: see docs/operations/api.md.
 */
class GatewayService : public kernel::Service {
 public:
  /** @param settings INI settings of this instance. */
  explicit GatewayService(config::InstanceSettings settings);
  ~GatewayService() override;
  std::string_view name() const override { return "gateway"; }
  utils::Result<void> Start(kernel::Kernel& kernel) override;
  void Stop() override;
  /**
   * Starts a planned stop. /healthz fails at once, so that the balancer selects
   * other instances; after the grace period new requests are refused. Requests
   * that would outlast the drain timeout receive a final answer in its last
   * part.
   * @param done called once, when nothing is in flight and all answers have
   *     been sent, or when the drain timeout expires.
   */
  void Drain(std::function<void()> done);
  /**
   * Closes the listening socket after Drain, and refuses the requests that
   * still arrive on open connections.
   * @param done called once, when the process may exit.
   */
  void Close(std::function<void()> done);
  /** @return the port the server listens on. */
  uint16_t port() const { return port_; }
  /** @return the instance's metrics. */
  GatewayMetrics& metrics() { return run_handler_->metrics(); }
  /** @return the at-most-once claims of this instance. */
  ClaimTable& claims() { return run_handler_->claims(); }
  /**
   * Closes the listening socket and all connections at once, as a killed
   * process does.
   */
  void Kill();

 private:
  void AddRoutes();
  void WatchInstanceList();
  /**
   * @param all true: lists all claims; false: only claims completed by this
   *     instance.
   */
  void SweepClaims(bool all);
  int LiveInstances() const;

  config::InstanceSettings settings_;
  http::RouterServer server_;
  StoreService* store_ = nullptr;
  /** Null if the kernel has no service "membership". */
  MembershipService* membership_ = nullptr;
  std::unique_ptr<RunHandler> run_handler_;
  std::unique_ptr<ConfigHandler> config_handler_;
  /**
   * Keys and revisions read from the instance list, for a resync by listing.
   */
  store::KnownRevisions instance_list_revisions_;
  /**
   * Watch on the platform's list of live and leaving upstreams, which lags
   * their own state.
   */
  std::unique_ptr<store::ResumableWatch> instance_list_;
  std::unique_ptr<store::WatchKeeper> instance_list_keeper_;
  std::unique_ptr<store::DutyLease> sweep_lease_;
  QTimer claim_retry_timer_;
  QTimer sweep_timer_;
  QTimer sweep_all_timer_;
  uint16_t port_ = 0;
  bool stopping_ = false;  ///< A planned stop has begun.
};

}  // namespace turmeric::gateway
