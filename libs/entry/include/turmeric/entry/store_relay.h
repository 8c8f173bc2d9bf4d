#pragma once

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "turmeric/peer/frame.h"
#include "turmeric/store/change_history.h"

namespace turmeric::entry {

/**
 * Passes the store's changes on to the follower instances that have requested
 * them. The last revision sent to each follower is recorded, so that each batch
 * continues the one before; a follower that does not renew its request is
 * removed. The current time is passed in.
 */
class StoreRelay {
 public:
  using Clock = std::chrono::steady_clock;
  /**
   * @return the next frame to be sent to a follower, or nullptr if there is no
   *     connection to it.
   */
  using OutgoingFrameCallback =
      std::function<peer::Frame*(const std::string& follower)>;

  /** @param outgoing_frame see OutgoingFrameCallback. */
  explicit StoreRelay(OutgoingFrameCallback outgoing_frame);

  /**
   * Handles a request of an instance to begin, renew or end following.
   * @param follower name and incarnation of the instance.
   * @param request its request.
   * @param status status of this relay, sent with the answer.
   * @param now current time.
   */
  void OnFollow(const std::string& follower, const peer::FollowRequest& request,
                const peer::RelayStatus& status, Clock::time_point now);
  /**
   * @param expects true: followers may connect at any moment, so changes are
   *     kept for them.
   */
  void set_expects_followers(bool expects) { expects_followers_ = expects; }
  /**
   * Passes on changes that were merged into the local replica.
   * @param kind kind of the changed objects.
   * @param batch the changes.
   * @param status status of this relay.
   */
  void OnMerged(peer::StoreKind kind, const store::ChangeBatch& batch,
                const peer::RelayStatus& status);
  /**
   * Sends the status of this relay and its revisions to all followers, and
   * removes followers that have not renewed their requests.
   * @param status status of this relay.
   * @param now current time.
   */
  void SendHeartbeats(const peer::RelayStatus& status, Clock::time_point now);
  /** @return number of followers. */
  size_t followers() const { return followers_.size(); }

 private:
  struct Follower {
    Clock::time_point requested_at;
    peer::StoreRevisions sent;
  };

  store::ChangeHistory& HistoryOf(peer::StoreKind kind);
  void Resync(peer::Frame& frame, Follower& follower, peer::StoreKind kind,
              int64_t known);

  OutgoingFrameCallback outgoing_frame_;
  bool expects_followers_ = false;
  std::array<store::ChangeHistory, peer::kAllStoreKinds.size()> histories_;
  std::map<std::string, Follower> followers_;
};

/**
 * @param objects objects as read from the store.
 * @return the objects in wire format.
 */
std::vector<peer::StoreObject> ToWire(
    const std::vector<store::SourceObject>& objects);

/**
 * @param changes changes as received.
 * @return the changes as a batch of the store; nullopt if an object's content
 *     is not a JSON object.
 */
std::optional<store::ChangeBatch> FromWire(const peer::StoreChanges& changes);

}  // namespace turmeric::entry
