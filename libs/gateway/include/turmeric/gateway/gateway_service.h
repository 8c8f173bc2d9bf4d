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
 * Service "gateway": the caller front (QHttpServer) with its handlers, the
 * watch on the platform's instance list, the sweep of old claims and the
 * planned stop. Routes: see docs/operations/api.md.
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
   * Turns unhealthy, so that the balancer looks elsewhere; after the grace
   * stops taking new work, and calls `done` when nothing is in flight and all
   * answers have left the process, or the drain timeout passes. Requests that
   * would outlast it get a final answer in its last part.
   * @param done called once.
   */
  void Drain(std::function<void()> done);
  /**
   * After Drain, before the exit: closes the listening socket and refuses what
   * is still on its way. @param done called once.
   */
  void Close(std::function<void()> done);
  /** @return bound port. */
  uint16_t port() const { return port_; }
  /** @return the instance's metrics. */
  GatewayMetrics& metrics() { return runs_->metrics(); }
  /** @return the instance's claims. */
  ClaimTable& claims() { return runs_->claims(); }
  /** Closes the listening socket at once, as a killed process would. */
  void Kill();

 private:
  void AddRoutes();
  void WatchInstanceList();
  /** @param all list all claims, else only those completed here. */
  void SweepClaims(bool all);
  /** Sends what the system takes at once. @return true if that was all. */
  bool FlushAnswers();
  int LiveInstances() const;

  config::InstanceSettings settings_;
  http::RouterServer server_;
  StoreService* store_ = nullptr;
  MembershipService* members_ = nullptr;  ///< May be absent.
  std::unique_ptr<RunHandler> runs_;
  std::unique_ptr<ConfigHandler> config_;
  /** What the instance list held, in case it must be listed anew. */
  store::KnownRevisions listed_;
  /** The platform's (lagging) list of live and leaving upstreams. */
  std::unique_ptr<store::ResumableWatch> instance_list_;
  std::unique_ptr<store::WatchKeeper> instance_list_keeper_;
  std::unique_ptr<store::DutyLease> sweep_duty_;
  QTimer recover_;
  QTimer sweep_;
  QTimer sweep_all_;
  uint16_t port_ = 0;
  bool leaving_ = false;  ///< A planned stop has begun.
};

}  // namespace turmeric::gateway
