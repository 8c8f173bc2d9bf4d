#include "turmeric/entry/entry_service.h"

#include <algorithm>
#include <utility>

#include "turmeric/entry/brittle_upstreams.h"
#include "turmeric/entry/caller_buffers.h"
#include "turmeric/entry/caller_intake.h"
#include "turmeric/entry/config_check.h"
#include "turmeric/entry/counted_source.h"
#include "turmeric/entry/engine_placer.h"
#include "turmeric/entry/fair_shares.h"
#include "turmeric/entry/instance_directory.h"
#include "turmeric/entry/instance_links.h"
#include "turmeric/entry/memory_guard.h"
#include "turmeric/entry/origin_archive.h"
#include "turmeric/entry/peer_server.h"
#include "turmeric/entry/placement_coordinator.h"
#include "turmeric/entry/probe_server.h"
#include "turmeric/entry/reach_monitor.h"
#include "turmeric/entry/request_quarantine.h"
#include "turmeric/entry/request_run.h"
#include "turmeric/entry/stage_dispatcher.h"
#include "turmeric/entry/stage_router.h"
#include "turmeric/entry/store_sharing.h"
#include "turmeric/entry/stream_origins.h"
#include "turmeric/entry/topology_feed.h"
#include "turmeric/entry/tunnel_peers.h"
#include "turmeric/entry/tunnel_server.h"
#include "turmeric/entry/upstream_availability.h"
#include "turmeric/entry/upstream_connections.h"
#include "turmeric/entry/upstream_limiter.h"
#include "turmeric/entry/upstream_speeds.h"
#include "turmeric/entry/version_registry.h"
#include "turmeric/http/request_intake.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr std::string_view kMetricsPath = "/metrics";

/**
 * The load balancer probes once a second and detects an instance that is not
 * ready by two failed probes; after this time it opens no new connection to it.
 */
constexpr milliseconds kBalancerDetectionTime{2600};
constexpr milliseconds kDrainCheckInterval{50};
/** Interval at which the bytes of links to peer instances are counted. A link
 * that does not take them ends after its acknowledgement timeout. */
constexpr milliseconds kLinkChargeInterval{500};

http::Endpoint EndpointOf(const std::string& address) {
  return http::ParseEndpoint(address);
}

PlatformLink WithCountedCalls(PlatformLink link, EntryMetrics& metrics) {
  link.source =
      std::make_unique<CountedSource>(std::move(link.source), metrics);
  return link;
}

}  // namespace

EntryService::EntryService(config::EntrySettings settings, PlatformLink link)
    : link_(WithCountedCalls(std::move(link), metrics_)),
      context_(std::move(settings), link_.wire),
      memory_guard_(std::make_unique<MemoryGuard>(context_.memory, metrics_)),
      caller_buffers_(std::make_unique<CallerBuffers>(*memory_guard_)),
      request_intake_(MakeRequestIntake()),
      link_charge_(context_.memory, memory::BufferKind::kPeerLink),
      links_(std::make_unique<InstanceLinks>(context_)),
      tunnel_peers_(std::make_unique<TunnelPeers>(
          context_.settings.name, context_.settings.zone,
          [this](const std::string& name) {
            return links_->Reaches(name) && !links_->leaving(name);
          })),
      reach_(std::make_unique<ReachMonitor>(context_, *tunnel_peers_)),
      tunnel_server_(MakeTunnelServer()),
      quarantine_(std::make_unique<RequestQuarantine>(context_, *links_)),
      limiter_(MakeLimiter()),
      connections_(MakeConnections()),
      intake_(MakeIntake()),
      brittle_(std::make_unique<BrittleUpstreams>(
          context_.upstreams,
          [this](const auto& add) { links_->Broadcast(add); })),
      availability_(std::make_unique<UpstreamAvailability>(
          context_.upstreams, metrics_,
          AvailabilityLinks{
              .broadcast = [this](const auto& add) { links_->Broadcast(add); },
              .on_leaving = [this] { versions_->Update(); },
              .uses_tunnels =
                  [this](const routing::Upstream& u) {
                    return u.reach.path == routing::Path::kTunnel ||
                           tunnel_server_->LeadsTo(u.entry.id);
                  },
              .on_unavailable =
                  [this](const routing::UpstreamPtr& u) {
                    QTimer::singleShot(0, this, [this, u] {
                      context_.client.FailUnconnected(*u);
                    });
                  }})),
      versions_(MakeVersions()),
      archive_(std::make_unique<OriginArchive>()),
      origins_(MakeOrigins()),
      shares_(MakeShares()),
      dispatcher_(std::make_unique<StageDispatcher>(context_)),
      router_(std::make_unique<StageRouter>(context_, *links_, *dispatcher_)),
      placement_coordinator_(std::make_unique<PlacementCoordinator>(context_)),
      placer_(std::make_unique<EnginePlacer>(context_, *links_,
                                             *placement_coordinator_)),
      peer_server_(std::make_unique<PeerServer>(
          *dispatcher_, *placement_coordinator_, context_.revision_gossip,
          [this](const std::string& name, Presence presence) {
            links_->OnPresence(name, presence);
            if (presence == Presence::kLeaving) {
              context_.client.CloseIdleTunnels(name);
            }
          })),
      feed_(std::make_unique<TopologyFeed>(context_, link_)),
      sharing_(std::make_unique<StoreSharing>(context_, *links_, *feed_,
                                              [this](const std::string& name) {
                                                return peer_server_->FrameTo(
                                                    name);
                                              })),
      config_check_(std::make_unique<ConfigCheck>(
          context_.settings.config_bound,
          [this] { return sharing_->config_current_at(); },
          [this](ConfigCheck::Callback done) { feed_->FetchConfig(done); })) {
  context_.metrics = &metrics_;
  context_.memory_guard = memory_guard_.get();
  context_.config_check = config_check_.get();
  context_.stages = router_.get();
  context_.placer = placer_.get();
  context_.quarantine = quarantine_.get();
  context_.limiter = limiter_.get();
  context_.brittle = brittle_.get();
  context_.availability = availability_.get();
  context_.connections = connections_.get();
  context_.reach = reach_.get();
  context_.origins = origins_.get();
  context_.shares = shares_.get();
  versions_->set_on_change([this](const std::string& service) {
    origins_->OnVersionsChanged(service);
  });
  limiter_->set_metrics(&metrics_);
  ConnectPeerEvents();
  ConnectPaths();
  front_ =
      std::make_unique<http::Listener>([this](int fd) { AcceptCaller(fd); });
  front_->set_takes([this] { return intake_->Takes(callers_.size()); });
  const auto on_probe = [this](http::ServerConnection& c,
                               http::RequestMessage&& message) {
    OnProbe(c, message);
  };
  readiness_ = std::make_unique<ProbeServer>("readiness", metrics_,
                                             *request_intake_, on_probe);
  metrics_server_ = std::make_unique<ProbeServer>("metrics", metrics_,
                                                  *request_intake_, on_probe);
  link_charge_timer_.setInterval(kLinkChargeInterval);
  connect(&link_charge_timer_, &QTimer::timeout, this,
          [this] { ChargeLinks(); });
  if (context_.memory.bound() > 0) link_charge_timer_.start();
  drain_timer_.setInterval(kDrainCheckInterval);
  connect(&drain_timer_, &QTimer::timeout, this, [this] { CheckDrained(); });
}

EntryService::~EntryService() {
  // Open requests and connections are children of this object, so without this
  // they would be destroyed after the members that they use. A process that is
  // stopped with open requests could then crash, or hang until it is killed.
  qDeleteAll(QObjectList(children()));
}

utils::Result<void> EntryService::Start(kernel::Kernel& /*kernel*/) {
  const config::EntrySettings& s = context_.settings;
  if (auto ok = front_->Listen(EndpointOf(s.front_address)); !ok) return ok;
  if (!s.readiness_address.empty()) {
    auto ok = readiness_->Listen(s.readiness_address);
    if (!ok) return ok;
  }
  if (!s.metrics_address.empty()) {
    auto ok = metrics_server_->Listen(s.metrics_address);
    if (!ok) return ok;
  }
  if (auto ok = StartPeers(); !ok) return ok;
  feed_->set_on_complete([] { utils::DecisionLog("ready"); });
  feed_->set_on_new_era([this] {
    quarantine_->OnNewEra();
    versions_->OnNewEra();
    origins_->OnNewEra();
  });
  feed_->set_on_applied([this] { versions_->Update(); });
  feed_->Start();
  versions_->Start(*link_.source, link_.versions_kind);
  archive_->Start(*link_.source, link_.origins_kind);
  quarantine_->Start(*link_.source, link_.quarantine_kind);
  utils::DecisionLog("started")
      .Add("instance", s.name)
      .Add("zone", s.zone)
      .Add("front", s.front_address)
      .Add("first_start", s.first_start)
      .Add("store", s.store_address);
  return boost::outcome_v2::success();
}

utils::Result<void> EntryService::StartPeers() {
  const config::EntrySettings& s = context_.settings;
  if (s.peer_address.empty()) {
    context_.retries.SetSingleInstance();
    context_.cold_limiter.set_other_instances({});
    limiter_->SetSingleInstance();
    return boost::outcome_v2::success();
  }
  if (auto ok = peer_server_->Listen(s.peer_address); !ok) return ok;
  if (!s.tunnel_address.empty()) {
    if (auto ok = tunnel_server_->Listen(s.tunnel_address); !ok) return ok;
  }
  sharing_->Start();
  directory_ = std::make_unique<InstanceDirectory>(
      *link_.source, link_.instances_kind, s.name,
      InstanceInfo{.address = s.peer_address,
                   .tunnel_address = s.tunnel_address,
                   .zone = s.zone,
                   .cpu_share = s.cpu_share,
                   .lends_connections = true},
      [this](const Instances& fleet, bool listed) {
        links_->SetInstances(fleet, listed);
        tunnel_peers_->SetInstances(fleet);
        std::vector<std::string> names;
        for (const auto& [name, info] : fleet) names.push_back(name);
        limiter_->OnInstances(names, listed, Clock::now());
        connections_->OnInstances(fleet, Clock::now());
        sharing_->SetInstances(fleet);
        origins_->OnFleetList();
      });
  directory_->Start();
  return boost::outcome_v2::success();
}

void EntryService::Stop() {
  front_->Close();
  readiness_->Close();
  metrics_server_->Close();
}

uint16_t EntryService::readiness_port() const { return readiness_->port(); }

bool EntryService::ready() const { return feed_->complete() && !draining_; }

http::ServerLimits EntryService::Limits() const {
  const routing::CallerLimits limits =
      context_.table ? context_.table->limits : routing::CallerLimits{};
  return {limits.max_header_bytes, limits.max_body_bytes, limits.header_timeout,
          limits.idle_timeout};
}

void EntryService::AcceptCaller(int fd) {
  auto* connection = new http::ServerConnection(
      fd, [this] { return Limits(); },
      [this](http::ServerConnection& c, http::RequestMessage&& message) {
        OnRequest(c, std::move(message));
      },
      this);
  callers_.insert(connection);
  connection->set_on_rejected(
      [this](int status) { metrics_.OnRejected(status); });
  caller_buffers_->Add(*connection);
  request_intake_->Add(*connection);
  connect(connection, &QObject::destroyed, this,
          [this, connection] { callers_.erase(connection); });
}

void EntryService::OnProbe(http::ServerConnection& connection,
                           const http::RequestMessage& message) {
  if (message.target == link_.wire.readiness_path) {
    return connection.Respond(
        {.status = ready() ? kOk : kUnavailable, .headers = {}, .body = {}});
  }
  if (message.target == kMetricsPath) {
    ChargeLinks();
    metrics_.SetBuffered(context_.memory, context_.request_memory);
    metrics_.SetUpstreamSpeeds(UpstreamSpeeds(context_));
    return connection.Respond({.status = kOk,
                               .headers = {{"Content-Type", "text/plain"}},
                               .body = metrics_.Render()});
  }
  connection.Respond({.status = kNotFound, .headers = {}, .body = {}});
}

void EntryService::OnRequest(http::ServerConnection& connection,
                             http::RequestMessage&& message) {
  // The load balancer may also send probes to the address for callers.
  if (message.target == link_.wire.readiness_path) {
    return OnProbe(connection, message);
  }
  intake_->OnRequest(connection.receive_time());
  if (draining_) connection.CloseWhenIdle();
  auto* run =
      new RequestRun(context_, connection,
                     link_.wire.decode_request(std::move(message)), this);
  run->Start();
}

int EntryService::open_requests() const {
  return static_cast<int>(
      std::ranges::count_if(callers_, &http::ServerConnection::busy));
}

void EntryService::ChargeLinks() {
  const size_t before = link_charge_.bytes();
  link_charge_.Set(links_->buffered() + peer_server_->buffered());
  if (link_charge_.bytes() > before) memory_guard_->OnGrowth();
}

void EntryService::Drain(std::function<void()> done) {
  if (std::exchange(draining_, true)) return;
  on_drained_ = std::move(done);
  drain_began_ = std::chrono::steady_clock::now();
  context_.stopping_since = drain_began_;
  links_->Leave();
  peer_server_->Leave();
  utils::DecisionLog("stop_begins")
      .Add("open_requests", open_requests())
      .Add("connections", callers_.size());
  const auto last_answers = context_.stop()->last_answers;
  ForEachRun([=](RequestRun& run) { run.OnPlannedStop(last_answers); });
  drain_timer_.start();
}

void EntryService::ForEachRun(const std::function<void(RequestRun&)>& action) {
  const QObjectList open = children();
  for (QObject* child : open) {
    if (auto* run = dynamic_cast<RequestRun*>(child)) action(*run);
  }
}

void EntryService::CheckDrained() {
  const auto now = std::chrono::steady_clock::now();
  const auto since = now - drain_began_;
  const StopSchedule stop = *context_.stop();
  if (now >= stop.last_answers) {
    ForEachRun([](RequestRun& run) { run.AnswerBeforeExit(); });
  }
  if (since < kBalancerDetectionTime && now < stop.last_answers) return;
  const auto open = callers_;
  std::ranges::for_each(open, [](auto* c) { c->CloseWhenIdle(); });
  // Calls for pieces of other instances are in flight, too. If the process
  // exited before they end, they would be run again, and their requests would
  // be delayed. The same holds for requests in tunnels of other instances.
  const bool open_work = !callers_.empty() || peer_server_->busy(now) ||
                         tunnel_server_->open_tunnels() > 0;
  if (open_work && now < stop.exit) return;
  drain_timer_.stop();
  utils::DecisionLog("stopped")
      .Add("open_requests", open_requests())
      .Add("ms", std::chrono::duration_cast<milliseconds>(since).count());
  if (auto callback = std::exchange(on_drained_, nullptr)) callback();
}

void EntryService::Reload(const config::EntrySettings& settings) {
  context_.settings.stop_grace = settings.stop_grace;
  context_.settings.lapsed_grace = settings.lapsed_grace;
  if (context_.Uses(config::Mechanism::kRepeats)) {
    context_.retries.set_limits(
        {settings.retry_ratio, settings.retry_slack, settings.retry_window});
  }
  utils::DecisionLog("reloaded").Add("instance", settings.name);
}

}  // namespace turmeric::entry
