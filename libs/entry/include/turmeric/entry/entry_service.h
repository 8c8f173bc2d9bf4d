#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <memory>
#include <set>

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/entry_metrics.h"
#include "turmeric/entry/platform_link.h"
#include "turmeric/http/listener.h"
#include "turmeric/kernel/service.h"
#include "turmeric/memory/charge.h"
#include "turmeric/utils/log_interval.h"

namespace turmeric::http {
class RequestIntake;
}

namespace turmeric::peer {
struct Frame;
}

namespace turmeric::entry {

class BrittleUpstreams;
class CallerBuffers;
class CallerIntake;
class ConfigCheck;
class EnginePlacer;
class InstanceDirectory;
class InstanceLinks;
class MemoryGuard;
class OriginArchive;
class PeerServer;
class PlacementCoordinator;
class ProbeServer;
class ReachMonitor;
class RequestRun;
class StageDispatcher;
class StageRouter;
class StoreSharing;
class StreamOrigins;
class TopologyFeed;
class TunnelPeers;
class TunnelServer;
class UpstreamAvailability;
class UpstreamConnections;
class VersionRegistry;
class FairShares;
class RequestQuarantine;

/**
 * Service "entry": an instance on the platform, between callers and upstreams.
 * Serves callers on the front address, the load balancer's probes on the
 * readiness address, and its metrics on the metrics address.
 */
class EntryService : public QObject, public kernel::Service {
 public:
  /**
   * @param settings settings of this instance.
   * @param link interfaces of the platform.
   */
  EntryService(config::EntrySettings settings, PlatformLink link);
  ~EntryService() override;

  std::string_view name() const override { return "entry"; }
  utils::Result<void> Start(kernel::Kernel& kernel) override;
  void Stop() override;
  /**
   * Begins a planned stop: the instance is not ready from now on, but serves
   * until the load balancer has detected this and the open requests have ended,
   * at most for the stop grace.
   * @param done called once, when the process may exit.
   */
  void Drain(std::function<void()> done);
  /**
   * Applies changed settings; addresses stay as they are.
   * @param settings the newly read settings.
   */
  void Reload(const config::EntrySettings& settings);
  /** @return bound port for callers. */
  uint16_t front_port() const { return front_->port(); }
  /** @return bound port for probes. */
  uint16_t readiness_port() const;

 private:
  void ConnectPeerEvents();
  void ConnectPaths();
  /** Handles what a peer's frame states about itself. */
  void OnPeerState(const std::string& name, const peer::Frame& frame);
  std::unique_ptr<TunnelServer> MakeTunnelServer();
  /** Adds what a peer that may have just started has to know to the first frame
   * to it. */
  void AddKnownState(peer::Frame& frame) const;
  /** Adds to the next frame to a peer. */
  void AddToFrame(const std::string& name,
                  const std::function<void(peer::Frame&)>& add);
  /** @return true if this instance owns a key, such as that of a queue. */
  bool Owns(const std::string& key);
  std::unique_ptr<UpstreamLimiter> MakeLimiter();
  std::unique_ptr<UpstreamConnections> MakeConnections();
  std::unique_ptr<CallerIntake> MakeIntake();
  /** Closes the connection of a caller for a new one, see http::CloseForNew().
   * @return false if none was closed. */
  bool CloseForNewCaller();
  std::unique_ptr<VersionRegistry> MakeVersions();
  std::unique_ptr<StreamOrigins> MakeOrigins();
  std::unique_ptr<FairShares> MakeShares();
  utils::Result<void> StartPeers();
  void AcceptCaller(int fd);
  std::unique_ptr<http::RequestIntake> MakeRequestIntake();
  void OnRequest(http::ServerConnection& connection,
                 http::RequestMessage&& message);
  void OnProbe(http::ServerConnection& connection,
               const http::RequestMessage& message);
  /** @param action called with each open request. */
  void ForEachRun(const std::function<void(RequestRun&)>& action);
  void CheckDrained();
  /** Charges the bytes that links to peer instances hold. */
  void ChargeLinks();
  http::ServerLimits Limits() const;
  bool ready() const;
  int open_requests() const;

  EntryMetrics metrics_;
  PlatformLink link_;
  EntryContext context_;
  std::unique_ptr<MemoryGuard> memory_guard_;
  std::unique_ptr<CallerBuffers> caller_buffers_;
  std::unique_ptr<http::RequestIntake> request_intake_;
  memory::Charge link_charge_;  ///< Of the links to peer instances.
  QTimer link_charge_timer_;
  std::unique_ptr<InstanceLinks> links_;
  std::unique_ptr<TunnelPeers> tunnel_peers_;
  std::unique_ptr<ReachMonitor> reach_;
  std::unique_ptr<TunnelServer> tunnel_server_;
  std::unique_ptr<RequestQuarantine> quarantine_;
  QTimer permit_timer_;
  std::unique_ptr<UpstreamLimiter> limiter_;
  std::unique_ptr<UpstreamConnections> connections_;
  std::unique_ptr<CallerIntake> intake_;
  std::unique_ptr<BrittleUpstreams> brittle_;
  std::unique_ptr<UpstreamAvailability> availability_;
  std::unique_ptr<VersionRegistry> versions_;
  std::unique_ptr<OriginArchive> archive_;
  std::unique_ptr<StreamOrigins> origins_;
  std::unique_ptr<FairShares> shares_;
  std::unique_ptr<StageDispatcher> dispatcher_;
  std::unique_ptr<StageRouter> router_;
  std::unique_ptr<PlacementCoordinator> placement_coordinator_;
  std::unique_ptr<EnginePlacer> placer_;
  std::unique_ptr<PeerServer> peer_server_;
  std::unique_ptr<InstanceDirectory> directory_;
  std::unique_ptr<TopologyFeed> feed_;
  std::unique_ptr<StoreSharing> sharing_;
  std::unique_ptr<ConfigCheck> config_check_;
  std::unique_ptr<http::Listener> front_;
  std::unique_ptr<ProbeServer> readiness_;
  std::unique_ptr<ProbeServer> metrics_server_;
  std::set<http::ServerConnection*> callers_;
  utils::LogInterval caller_close_log_;
  bool draining_ = false;
  std::chrono::steady_clock::time_point drain_began_;
  std::function<void()> on_drained_;
  QTimer drain_timer_;
};

}  // namespace turmeric::entry
