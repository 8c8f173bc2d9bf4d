#include "turmeric/entry/store_sharing.h"

#include <algorithm>
#include <utility>

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/entry_metrics.h"
#include "turmeric/entry/instance_links.h"
#include "turmeric/entry/relay_choice.h"
#include "turmeric/entry/topology_feed.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using peer::StoreKind;
using std::chrono::milliseconds;

namespace {

/** Interval of checks for relays that no longer respond. */
constexpr milliseconds kCheckInterval{250};
/** Interval at which a relay sends its status to followers. */
constexpr milliseconds kHeartbeatInterval{1000};
/**
 * Interval at which a follower renews its requests; relays remove followers
 * that do not renew theirs.
 */
constexpr milliseconds kFollowInterval{1500};

}  // namespace

StoreSharing::StoreSharing(EntryContext& context, InstanceLinks& links,
                           TopologyFeed& feed,
                           StoreRelay::OutgoingFrameCallback outgoing_frame)
    : context_(context),
      links_(links),
      feed_(feed),
      relay_(std::move(outgoing_frame)) {
  check_timer_.setInterval(kCheckInterval);
  connect(&check_timer_, &QTimer::timeout, this, [this] { Check(); });
}

void StoreSharing::Start() {
  feed_.set_on_merged([this](StoreKind kind, const store::ChangeBatch& batch) {
    relay_.OnMerged(kind, batch, Status().value_or(peer::RelayStatus{}));
  });
  if (!context_.Uses(config::Mechanism::kStoreRelays)) return;
  feed_.set_relayed_store_age(
      [this] { return policy_.RelayedStoreAge(Clock::now()); });
  feed_.Watch(false, false);
  check_timer_.start();
}

void StoreSharing::SetInstances(const Instances& fleet) {
  preferred_ = SourcesFor(fleet, context_.settings.name);
  const auto relays = RelaysOfZone(fleet, context_.settings.zone);
  ranked_relay_ = std::ranges::count(relays, context_.settings.name) > 0;
  relay_.set_expects_followers(ranked_relay_);
  feed_.set_watchers(CountRelays(fleet));
  if (check_timer_.isActive()) Decide();
}

FollowPolicy::Situation StoreSharing::CurrentSituation() const {
  FollowPolicy::Situation situation{
      .preferred = preferred_,
      .is_relay = ranked_relay_ || relay_.followers() > 0,
      .store_answered_at = feed_.store_answered_at(),
      .watch_wait = feed_.watch_wait()};
  if (situation.preferred) {
    // Instances marked as unreachable stay in the list: InstanceLinks retries
    // only unreachable owners of queues and cells by itself.
    std::erase_if(*situation.preferred, [this](const std::string& name) {
      return links_.leaving(name);
    });
  }
  return situation;
}

void StoreSharing::Check() {
  const auto now = Clock::now();
  Decide();
  if (now - follow_sent_at_ >= kFollowInterval) {
    follow_sent_at_ = now;
    for (const std::string& name : policy_.sources()) SendFollow(name, false);
  }
  if (now - heartbeat_sent_at_ < kHeartbeatInterval) return;
  heartbeat_sent_at_ = now;
  if (const auto status = Status()) relay_.SendHeartbeats(*status, now);
  context_.metrics->SetStorePaths(
      static_cast<int>(relay_.followers()),
      policy_.StoreAge(feed_.store_answered_at(), now));
}

void StoreSharing::Decide() {
  const FollowPolicy::Decision decision =
      policy_.Decide(CurrentSituation(), Clock::now());
  std::ranges::for_each(decision.to_drop,
                        [this](const auto& d) { Unfollow(d); });
  std::ranges::for_each(decision.to_follow,
                        [this](const auto& name) { SendFollow(name, true); });
  SetWatch(decision);
}

void StoreSharing::SetWatch(const FollowPolicy::Decision& decision) {
  feed_.Watch(decision.watch, decision.slow_retry);
  if (std::exchange(watch_why_, decision.why) == decision.why) return;
  utils::DecisionLog(decision.watch ? "store_watched" : "store_not_watched")
      .Add("why", decision.why)
      .Add("followers", relay_.followers())
      .Add("store_age_ms",
           policy_.StoreAge(feed_.store_answered_at(), Clock::now()).count());
}

void StoreSharing::SendFollow(const std::string& name, bool resync) {
  peer::PeerLink* link = links_.Open(name);
  if (link == nullptr) return;
  link->outgoing().follow = peer::FollowRequest{
      .wanted = true, .resync = resync, .known = feed_.revisions()};
}

void StoreSharing::Unfollow(const FollowPolicy::Dropped& dropped) {
  utils::DecisionLog("relay_passed_by")
      .Add("peer", dropped.name)
      .Add("why", FaultName(dropped.why));
  peer::PeerLink* link = links_.Find(dropped.name);
  if (link == nullptr) return;
  const bool unresponsive = dropped.why == FollowPolicy::Fault::kNoAnswer ||
                            dropped.why == FollowPolicy::Fault::kSilent;
  if (unresponsive) return links_.CloseUnresponsive(dropped.name);
  link->outgoing().follow = peer::FollowRequest{.wanted = false};
}

void StoreSharing::OnFollow(const std::string& follower,
                            const peer::FollowRequest& request) {
  const bool had_followers = relay_.followers() > 0;
  // Before the first full list there is nothing to pass on; the follower times
  // out and selects another relay.
  const auto status = Status();
  if (!status) return;
  relay_.OnFollow(follower, request, *status, Clock::now());
  if (had_followers || relay_.followers() == 0 || ranked_relay_) return;
  utils::DecisionLog("relays_for_others").Add("first", follower);
}

void StoreSharing::OnFrame(const std::string& name, const peer::Frame& frame) {
  if (!policy_.IsFollowed(name)) return;
  const auto now = Clock::now();
  if (frame.relay && frame.relay->outage_ended) {
    feed_.NoteOutageEnded(now - *frame.relay->outage_ended);
  }
  for (const peer::StoreChanges& changes : frame.store_changes) {
    feed_.Merge(name, changes);
  }
  if (frame.relay) {
    NoteConfigAge(*frame.relay, now);
    policy_.OnStatus(name, frame.relay->store_age, IsBehind(*frame.relay), now);
  }
}

void StoreSharing::NoteConfigAge(const peer::RelayStatus& status,
                                 Clock::time_point now) {
  // Changes that are too large to be passed on are signalled as a gap and are
  // not known here yet.
  const bool lacks = status.known.Of(StoreKind::kConfig) >
                     feed_.revisions().Of(StoreKind::kConfig);
  if (lacks || !status.config_age) return;
  relayed_config_at_ = std::max(relayed_config_at_, now - *status.config_age);
}

StoreSharing::Clock::time_point StoreSharing::config_current_at() const {
  return std::max(relayed_config_at_, feed_.config_answered_at());
}

void StoreSharing::OnLost(const std::string& name) {
  if (!policy_.IsFollowed(name)) return;
  policy_.OnDisconnected(name, Clock::now());
  Decide();
}

bool StoreSharing::IsBehind(const peer::RelayStatus& status) const {
  const RevisionGossip::Revisions newest = feed_.newest_revisions();
  return std::ranges::any_of(peer::kAllStoreKinds, [&](StoreKind kind) {
    return status.known.Of(kind) < newest.Of(kind);
  });
}

std::optional<peer::RelayStatus> StoreSharing::Status() const {
  if (!feed_.all_synced()) return std::nullopt;
  const auto now = Clock::now();
  peer::RelayStatus status{
      .store_age = policy_.StoreAge(feed_.store_answered_at(), now),
      .outage_ended = std::nullopt,
      .known = feed_.revisions(),
      .config_age =
          std::chrono::duration_cast<milliseconds>(now - config_current_at())};
  if (const auto ended = feed_.outage_ended()) {
    status.outage_ended =
        std::chrono::duration_cast<milliseconds>(now - *ended);
  }
  return status;
}

}  // namespace turmeric::entry
