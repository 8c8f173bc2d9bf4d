#include <algorithm>
#include <utility>
#include <vector>

#include "turmeric/entry/brittle_upstreams.h"
#include "turmeric/entry/caller_intake.h"
#include "turmeric/entry/engine_placer.h"
#include "turmeric/entry/entry_service.h"
#include "turmeric/entry/fair_shares.h"
#include "turmeric/entry/instance_links.h"
#include "turmeric/entry/origin_archive.h"
#include "turmeric/entry/peer_server.h"
#include "turmeric/entry/reach_monitor.h"
#include "turmeric/entry/request_quarantine.h"
#include "turmeric/entry/stage_router.h"
#include "turmeric/entry/store_sharing.h"
#include "turmeric/entry/stream_origins.h"
#include "turmeric/entry/tunnel_peers.h"
#include "turmeric/entry/tunnel_server.h"
#include "turmeric/entry/upstream_availability.h"
#include "turmeric/entry/upstream_connections.h"
#include "turmeric/entry/upstream_limiter.h"
#include "turmeric/entry/version_registry.h"
#include "turmeric/http/connection_limit.h"
#include "turmeric/http/request_intake.h"
#include "turmeric/peer/instance_identity.h"

namespace turmeric::entry {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int kUnavailable = 503;
/** Interval of the check for permits that may be used now. */
constexpr milliseconds kPermitCheckInterval{5};
/** Delay after which a large request that found no room may return. */
constexpr milliseconds kReceptionRetryDelay{500};

}  // namespace

void EntryService::AddKnownState(peer::Frame& frame) const {
  quarantine_->AddKnownCrashes(frame);
  limiter_->AddKnownLimits(frame);
  brittle_->AddKnown(frame);
  availability_->AddKnown(frame);
  versions_->AddKnown(frame);
  connections_->AddStatement(frame);
}

void EntryService::AddToFrame(const std::string& name,
                              const std::function<void(peer::Frame&)>& add) {
  peer::PeerLink* link = links_->Open(name);
  if (link != nullptr) add(link->outgoing());
}

bool EntryService::Owns(const std::string& key) {
  return !links_->OwnerOf(key).has_value();
}

std::unique_ptr<UpstreamLimiter> EntryService::MakeLimiter() {
  permit_timer_.setInterval(kPermitCheckInterval);
  permit_timer_.setTimerType(Qt::PreciseTimer);
  connect(&permit_timer_, &QTimer::timeout, this, [this] {
    limiter_->Tick(Clock::now());
    if (!limiter_->has_open()) permit_timer_.stop();
  });
  return std::make_unique<UpstreamLimiter>(
      LimiterSettings{
          .name = context_.settings.name,
          .first_start = context_.settings.first_start,
          .enabled = context_.Uses(config::Mechanism::kUpstreamLimit)},
      context_.upstreams,
      LimiterLinks{
          .reaches =
              [this](const std::string& name) { return links_->Reaches(name); },
          .send = [this](const std::string& name,
                         const auto& add) { AddToFrame(name, add); },
          .broadcast = [this](const auto& add) { links_->Broadcast(add); },
          .on_open =
              [this] {
                if (!permit_timer_.isActive()) permit_timer_.start();
              }},
      Clock::now());
}

std::unique_ptr<UpstreamConnections> EntryService::MakeConnections() {
  return std::make_unique<UpstreamConnections>(
      context_,
      LoanLinks{
          .reaches =
              [this](const std::string& name) {
                return links_->Reaches(name) && !links_->leaving(name);
              },
          .send = [this](const std::string& name,
                         const auto& add) { AddToFrame(name, add); },
          .broadcast = [this](const auto& add) { links_->Broadcast(add); }});
}

std::unique_ptr<CallerIntake> EntryService::MakeIntake() {
  return std::make_unique<CallerIntake>(
      metrics_,
      MaxCallers(static_cast<size_t>(context_.settings.max_descriptors),
                 context_.connection_bound),
      IntakeLinks{
          .successors =
              [this](size_t count) { return links_->Successors(count); },
          .send = [this](const std::string& name,
                         const auto& add) { AddToFrame(name, add); },
          .close_for_new = [this] { return CloseForNewCaller(); }});
}

bool EntryService::CloseForNewCaller() {
  const auto now = Clock::now();
  const std::vector<http::ServerConnection*> callers(callers_.begin(),
                                                     callers_.end());
  const http::ClosedConnection closed = http::CloseForNew(callers, now);
  if (closed.connection == nullptr) return false;
  metrics_.OnCallerClosedForNew(closed.state);
  http::LogClosedForNew(closed, callers_.size(), caller_close_log_, now);
  // The object is destroyed later, but its descriptor is free now.
  callers_.erase(closed.connection);
  return true;
}

std::unique_ptr<VersionRegistry> EntryService::MakeVersions() {
  return std::make_unique<VersionRegistry>(
      context_,
      VersionRegistry::Links{
          .owns = [this](const std::string& key) { return Owns(key); },
          .broadcast = [this](const auto& add) { links_->Broadcast(add); }});
}

std::unique_ptr<StreamOrigins> EntryService::MakeOrigins() {
  return std::make_unique<StreamOrigins>(
      *versions_, *archive_, metrics_,
      StreamOrigins::Links{
          .holders =
              [this](const std::string& key, size_t count) {
                return links_->HoldersOf(key, count, false);
              },
          .may_hold =
              [this](const std::string& key, size_t count) {
                return links_->HoldersOf(key, count, true);
              },
          .owner_of =
              [this](const std::string& key) { return links_->OwnerOf(key); },
          .send = [this](const std::string& name,
                         const auto& add) { AddToFrame(name, add); },
          .fleet_size =
              [this] { return context_.retries.listed_instances(); }});
}

std::unique_ptr<FairShares> EntryService::MakeShares() {
  return std::make_unique<FairShares>(
      context_,
      ShareLinks{
          .owner_of =
              [this](const std::string& key) { return links_->OwnerOf(key); },
          .send =
              [this](const std::string& name, const auto& add) {
                peer::PeerLink* link = links_->Open(name);
                if (link == nullptr) return;
                add(link->outgoing());
                // Shows a coordinator that is frozen or cut off.
                link->RequestAck();
              }});
}

std::unique_ptr<TunnelServer> EntryService::MakeTunnelServer() {
  const auto find_target = [this](std::string_view id) {
    const routing::UpstreamPtr upstream = context_.upstreams.Find(id);
    if (!upstream) return TunnelTarget{};
    // A peer may ask about an upstream that has ended: its host then refuses.
    const bool unavailable =
        upstream->availability->leaving() || IsResting(*upstream, Clock::now());
    if (unavailable || upstream->reach.path == routing::Path::kTunnel) {
      return TunnelTarget{http::TunnelStatus::kUnavailable, {}};
    }
    return TunnelTarget{http::TunnelStatus::kOpen,
                        http::ParseEndpoint(upstream->entry.address)};
  };
  return std::make_unique<TunnelServer>(
      find_target, static_cast<size_t>(context_.settings.max_descriptors),
      [this] { metrics_.OnConnectionShed("tunnel"); });
}

void EntryService::ConnectPaths() {
  context_.client.set_paths(
      tunnel_peers_.get(),
      [this](const routing::UpstreamPtr& upstream, std::string_view why) {
        reach_->Suspect(upstream, why);
      });
  reach_->set_on_partition([this](bool partitioned) {
    const auto statement = partitioned ? peer::ReachStatement::kPartitioned
                                       : peer::ReachStatement::kReaches;
    links_->Broadcast(
        [statement](peer::Frame& frame) { frame.reach = statement; });
  });
}

void EntryService::OnPeerState(const std::string& name,
                               const peer::Frame& frame) {
  tunnel_peers_->OnStatement(name, frame.reach, Clock::now());
  brittle_->OnFrame(frame);
  availability_->OnFrame(name, frame, Clock::now());
  versions_->OnFrame(frame);
  intake_->OnFrame(name, frame);
  if (frame.leaving) context_.client.CloseIdleTunnels(name);
}

void EntryService::ConnectPeerEvents() {
  context_.cold_limiter.set_reaches_most(
      [this] { return links_->ReachesMost(); });
  context_.cold_limiter.set_owns(
      [this](const std::string& part) { return Owns(part); });
  links_->set_events(
      {.on_frame =
           [this](const std::string& name, const peer::Frame& frame) {
             OnPeerState(name, frame);
             sharing_->OnFrame(name, frame);
             quarantine_->OnFrame(name, frame);
             limiter_->OnPermits(name, frame, Clock::now());
             connections_->OnGrants(name, frame);
             origins_->OnAnswers(name, frame);
             shares_->OnPlans(name, frame);
             if (!frame.placed.empty()) placer_->OnPlaced(frame.placed);
             router_->OnFrame(frame);
           },
       .on_lost =
           [this](const std::string& name, bool was_reset) {
             placer_->OnOwnerLost(name);
             router_->OnInstanceLost(name, was_reset);
             sharing_->OnLost(name);
             connections_->OnLost(name);
             origins_->OnPeersChanged();
           },
       .on_connect = [this](peer::Frame& frame) { AddKnownState(frame); }});
  peer_server_->set_on_new_peer(
      [this](peer::Frame& frame) { AddKnownState(frame); });
  peer_server_->set_on_frame(
      [this](const std::string& identity, const peer::Frame& frame) {
        OnPeerState(peer::InstanceName(identity), frame);
        quarantine_->OnFrame(identity, frame);
        peer::Frame* reply = peer_server_->FrameTo(identity);
        limiter_->OnOrders(frame, reply, Clock::now());
        if (!frame.sender.empty()) {
          // An instance connects to those in its list.
          limiter_->OnKnownBy(peer::InstanceName(identity));
          connections_->OnFirstFrame(identity, frame);
        }
        connections_->OnOrders(identity, frame, reply);
        origins_->OnQueries(frame, reply);
        shares_->OnReports(identity, frame, reply);
      });
  peer_server_->set_on_follow(
      [this](const std::string& identity, const peer::FollowRequest& request) {
        sharing_->OnFollow(identity, request);
      });
}

std::unique_ptr<http::RequestIntake> EntryService::MakeRequestIntake() {
  return std::make_unique<http::RequestIntake>(
      context_.request_memory, context_.partial_request_bound,
      http::RequestIntakeEvents{
          .refusal =
              [this](http::RequestMessage&& head) {
                const CallerRequest request =
                    link_.wire.decode_request(std::move(head));
                return link_.wire.encode_local_answer(
                    kUnavailable, request.attempt_id, kReceptionRetryDelay);
              },
          .on_refused =
              [this](std::string_view reason) {
                metrics_.OnReceptionRefused(reason);
              }});
}

}  // namespace turmeric::entry
