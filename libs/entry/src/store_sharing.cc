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

/** How often silent relays are looked for. */
constexpr milliseconds kTick{250};
/** How often a relay tells its followers that it is at work. */
constexpr milliseconds kBeat{1000};
/** How often a follower asks again, so that relays forget those that are
 * gone. */
constexpr milliseconds kAskAgain{1500};

}  // namespace

StoreSharing::StoreSharing(EntryContext& context, InstanceLinks& links,
                           TopologyFeed& feed, StoreRelay::FrameTo frame_to)
    : context_(context),
      links_(links),
      feed_(feed),
      relay_(std::move(frame_to)) {
  tick_.setInterval(kTick);
  connect(&tick_, &QTimer::timeout, this, [this] { Tick(); });
}

void StoreSharing::Start() {
  feed_.set_on_merged([this](StoreKind kind, const store::ChangeBatch& batch) {
    relay_.OnMerged(kind, batch, Status().value_or(peer::RelayStatus{}));
  });
  if (!context_.Uses(config::Mechanism::kStoreRelays)) return;
  feed_.set_others_store_age(
      [this] { return policy_.OthersStoreAge(Clock::now()); });
  feed_.Watch(false, false);
  tick_.start();
}

void StoreSharing::SetInstances(const Instances& fleet) {
  preferred_ = SourcesFor(fleet, context_.settings.name);
  const auto relays = RelaysOfZone(fleet, context_.settings.zone);
  ranked_relay_ = std::ranges::count(relays, context_.settings.name) > 0;
  relay_.set_expects_followers(ranked_relay_);
  feed_.set_watchers(CountRelays(fleet));
  if (tick_.isActive()) Decide();
}

FollowPolicy::Situation StoreSharing::CurrentSituation() const {
  FollowPolicy::Situation situation{
      .preferred = preferred_,
      .is_relay = ranked_relay_ || relay_.followers() > 0,
      .store_heard = feed_.store_heard(),
      .watch_wait = feed_.watch_wait()};
  if (situation.preferred) {
    // One that counts as down is asked all the same: only owners of queues and
    // cells are tried again by themselves.
    std::erase_if(*situation.preferred, [this](const std::string& name) {
      return links_.leaving(name);
    });
  }
  return situation;
}

void StoreSharing::Tick() {
  const auto now = Clock::now();
  Decide();
  if (now - asked_at_ >= kAskAgain) {
    asked_at_ = now;
    for (const std::string& name : policy_.sources()) Ask(name, false);
  }
  if (now - beat_at_ < kBeat) return;
  beat_at_ = now;
  if (const auto status = Status()) relay_.Beat(*status, now);
  context_.metrics->SetStorePaths(static_cast<int>(relay_.followers()),
                                  policy_.StoreAge(feed_.store_heard(), now));
}

void StoreSharing::Decide() {
  const FollowPolicy::Decision decision =
      policy_.Decide(CurrentSituation(), Clock::now());
  std::ranges::for_each(decision.drop, [this](const auto& d) { Drop(d); });
  std::ranges::for_each(decision.ask,
                        [this](const auto& name) { Ask(name, true); });
  SetWatch(decision);
}

void StoreSharing::SetWatch(const FollowPolicy::Decision& decision) {
  feed_.Watch(decision.watch, decision.patient);
  if (std::exchange(watch_why_, decision.why) == decision.why) return;
  utils::DecisionLog(decision.watch ? "store_watched" : "store_not_watched")
      .Add("why", decision.why)
      .Add("followers", relay_.followers())
      .Add("store_age_ms",
           policy_.StoreAge(feed_.store_heard(), Clock::now()).count());
}

void StoreSharing::Ask(const std::string& name, bool resync) {
  peer::PeerLink* link = links_.Open(name);
  if (link == nullptr) return;
  link->outgoing().follow = peer::FollowRequest{
      .wanted = true, .resync = resync, .known = feed_.revisions()};
}

void StoreSharing::Drop(const FollowPolicy::Dropped& dropped) {
  utils::DecisionLog("relay_passed_by")
      .Add("peer", dropped.name)
      .Add("why", FaultName(dropped.why));
  peer::PeerLink* link = links_.Find(dropped.name);
  if (link == nullptr) return;
  const bool no_sign_of_life = dropped.why == FollowPolicy::Fault::kNoAnswer ||
                               dropped.why == FollowPolicy::Fault::kSilent;
  if (no_sign_of_life) return links_.GiveUp(dropped.name);
  link->outgoing().follow = peer::FollowRequest{.wanted = false};
}

void StoreSharing::OnFollow(const std::string& follower,
                            const peer::FollowRequest& request) {
  const bool had_followers = relay_.followers() > 0;
  // Until all was read there is nothing to pass on; who asks finds another.
  const auto status = Status();
  if (!status) return;
  relay_.OnFollow(follower, request, *status, Clock::now());
  if (had_followers || relay_.followers() == 0 || ranked_relay_) return;
  utils::DecisionLog("relays_for_others").Add("first", follower);
}

void StoreSharing::OnFrame(const std::string& name, const peer::Frame& frame) {
  if (!policy_.Asks(name)) return;
  const auto now = Clock::now();
  if (frame.relay && frame.relay->outage_ended) {
    feed_.NoteOutageEnded(now - *frame.relay->outage_ended);
  }
  for (const peer::StoreChanges& changes : frame.store_changes) {
    feed_.Merge(name, changes);
  }
  if (frame.relay) {
    NoteConfigAge(*frame.relay, now);
    policy_.OnHeard(name, frame.relay->store_age, IsBehind(*frame.relay), now);
  }
}

void StoreSharing::NoteConfigAge(const peer::RelayStatus& status,
                                 Clock::time_point now) {
  // Guard: changes that are too large to be passed on are told as a gap, and
  // are not known here yet.
  const bool lacks = status.known.Of(StoreKind::kConfig) >
                     feed_.revisions().Of(StoreKind::kConfig);
  if (lacks || !status.config_age) return;
  config_relayed_to_ = std::max(config_relayed_to_, now - *status.config_age);
}

StoreSharing::Clock::time_point StoreSharing::config_known_to() const {
  return std::max(config_relayed_to_, feed_.config_answered());
}

void StoreSharing::OnLost(const std::string& name) {
  if (!policy_.Asks(name)) return;
  policy_.OnLost(name, Clock::now());
  Decide();
}

bool StoreSharing::IsBehind(const peer::RelayStatus& status) const {
  const StoreNews::Seen newest = feed_.newest();
  return std::ranges::any_of(peer::kAllStoreKinds, [&](StoreKind kind) {
    return status.known.Of(kind) < newest.Of(kind);
  });
}

std::optional<peer::RelayStatus> StoreSharing::Status() const {
  if (!feed_.read()) return std::nullopt;
  const auto now = Clock::now();
  peer::RelayStatus status{
      .store_age = policy_.StoreAge(feed_.store_heard(), now),
      .outage_ended = std::nullopt,
      .known = feed_.revisions(),
      .config_age =
          std::chrono::duration_cast<milliseconds>(now - config_known_to())};
  if (const auto ended = feed_.outage_ended()) {
    status.outage_ended =
        std::chrono::duration_cast<milliseconds>(now - *ended);
  }
  return status;
}

}  // namespace turmeric::entry
