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
 * Shares the contents of the platform's store between instances: follows relays
 * for changes, and passes the changes that are in force here on to follower
 * instances. Applies the decisions of FollowPolicy and StoreRelay to the
 * connections.
 */
class StoreSharing : public QObject {
 public:
  /**
   * @param context state of this instance; must outlive this object.
   * @param links connections to the other instances; must outlive this
   *     object.
   * @param feed local copy of the store's contents; must outlive this object.
   * @param outgoing_frame returns the next frame to be sent to a follower.
   */
  StoreSharing(EntryContext& context, InstanceLinks& links, TopologyFeed& feed,
               StoreRelay::OutgoingFrameCallback outgoing_frame);

  /** Starts following relays; must be called before the feed is started. */
  void Start();
  /** @param fleet all instances, including this one. */
  void SetInstances(const Instances& fleet);
  /**
   * Handles a follow request.
   * @param follower name and incarnation of the sender.
   * @param request its request.
   */
  void OnFollow(const std::string& follower,
                const peer::FollowRequest& request);
  /**
   * Handles a frame received on a connection opened by this instance.
   * @param name name of the sender.
   * @param frame the frame.
   */
  void OnFrame(const std::string& name, const peer::Frame& frame);
  /**
   * Handles the end of a connection opened by this instance.
   * @param name name of the peer instance.
   */
  void OnLost(const std::string& name);

  /**
   * @return the time up to which all configurations accepted by the store are
   *     known here, by own calls or from the statuses of relays.
   */
  std::chrono::steady_clock::time_point config_current_at() const;

 private:
  using Clock = std::chrono::steady_clock;

  void Check();
  void Decide();
  void SendFollow(const std::string& name, bool resync);
  void Unfollow(const FollowPolicy::Dropped& dropped);
  void SetWatch(const FollowPolicy::Decision& decision);
  FollowPolicy::Situation CurrentSituation() const;
  /**
   * @return status of this instance as a relay; nullopt until all kinds of
   *     objects were listed once.
   */
  std::optional<peer::RelayStatus> Status() const;
  /** Records how recent the configuration of a relay is. */
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
  /** As config_current_at(), but from the statuses of relays only. */
  Clock::time_point relayed_config_at_;
  Clock::time_point follow_sent_at_;
  Clock::time_point heartbeat_sent_at_;
  QTimer check_timer_;
};

}  // namespace turmeric::entry
