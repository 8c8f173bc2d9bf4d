#pragma once

#include <QObject>
#include <QTimer>
#include <optional>
#include <string>
#include <string_view>

#include "turmeric/entry/follow_policy.h"
#include "turmeric/entry/instance_info.h"
#include "turmeric/entry/store_relay.h"
#include "turmeric/peer/frame.h"

namespace turmeric::entry {

struct EntryContext;
class InstanceLinks;
class TopologyFeed;

/**
 * Shares what the platform's store says between instances: asks relays for its
 * changes, and passes on what is in force here to those that ask us. Joins the
 * decisions of FollowPolicy and StoreRelay with the connections.
 */
class StoreSharing : public QObject {
 public:
  /** @param context the instance's state. @param links to the other
   * instances. @param feed keeps what the store says. All must outlive this.
   * @param frame_to gives the frame that leaves next to one that asks us. */
  StoreSharing(EntryContext& context, InstanceLinks& links, TopologyFeed& feed,
               StoreRelay::FrameTo frame_to);

  /** Begins; to be called before the feed is started. */
  void Start();
  /** @param fleet all instances, ourselves included. */
  void SetInstances(const Instances& fleet);
  /** An instance asks us for changes. @param follower one start of it.
   * @param request what it wants. */
  void OnFollow(const std::string& follower,
                const peer::FollowRequest& request);
  /** @param name an instance that we have a connection to. @param frame from
   * it. */
  void OnFrame(const std::string& name, const peer::Frame& frame);
  /** Our connection to an instance has ended. @param name who. */
  void OnLost(const std::string& name);

  /** @return up to when all configurations that the store has accepted are
   * known here, by our own calls or by what relays tell of theirs. */
  std::chrono::steady_clock::time_point config_known_to() const;

 private:
  using Clock = std::chrono::steady_clock;

  void Tick();
  void Decide();
  void Ask(const std::string& name, bool resync);
  void Drop(const FollowPolicy::Dropped& dropped);
  void SetWatch(const FollowPolicy::Decision& decision);
  FollowPolicy::Situation CurrentSituation() const;
  /** @return our state as a relay; nullopt until all was read once. */
  std::optional<peer::RelayStatus> Status() const;
  /** A relay tells how far it knows the configurations. */
  void NoteConfigAge(const peer::RelayStatus& status, Clock::time_point now);
  /** @return true if the sender lacks changes that are known here. */
  bool IsBehind(const peer::RelayStatus& status) const;

  EntryContext& context_;
  InstanceLinks& links_;
  TopologyFeed& feed_;
  FollowPolicy policy_;
  StoreRelay relay_;
  std::optional<std::vector<std::string>> preferred_;
  bool ranked_relay_ = false;
  std::string_view watch_why_;
  Clock::time_point config_relayed_to_;  ///< As config_known_to, by relays.
  Clock::time_point asked_at_;
  Clock::time_point beat_at_;
  QTimer tick_;
};

}  // namespace turmeric::entry
