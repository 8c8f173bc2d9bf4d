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
 * Passes the store's changes on to the instances that have asked for them.
 * What a follower was sent last is remembered, so each batch joins on the one
 * before; a follower that does not ask again is forgotten. Time is passed in.
 */
class StoreRelay {
 public:
  using Clock = std::chrono::steady_clock;
  /** @return the frame that leaves next to a follower, or nullptr if there is
   * no connection to it. */
  using FrameTo = std::function<peer::Frame*(const std::string& follower)>;

  /** @param frame_to see FrameTo. */
  explicit StoreRelay(FrameTo frame_to);

  /**
   * An instance asks for changes, asks again, or needs them no more.
   * @param follower who, by one start of it. @param request what it wants.
   * @param status our state, told with the answer. @param now the time.
   */
  void OnFollow(const std::string& follower, const peer::FollowRequest& request,
                const peer::RelayStatus& status, Clock::time_point now);
  /** @param expects true: followers may come at any moment, and changes are
   * remembered for them. */
  void set_expects_followers(bool expects) { expects_followers_ = expects; }
  /** Changes were merged here. @param kind theirs. @param batch they.
   * @param status our state. */
  void OnMerged(peer::StoreKind kind, const store::ChangeBatch& batch,
                const peer::RelayStatus& status);
  /** Tells followers that we are at work and how far we know the store.
   * @param status our state. @param now the time. */
  void Beat(const peer::RelayStatus& status, Clock::time_point now);
  /** @return instances that we pass changes on to. */
  size_t followers() const { return followers_.size(); }

 private:
  struct Follower {
    Clock::time_point asked;
    peer::StoreRevisions sent;
  };

  store::ChangeHistory& HistoryOf(peer::StoreKind kind);
  void Resync(peer::Frame& frame, Follower& follower, peer::StoreKind kind,
              int64_t known);

  FrameTo frame_to_;
  bool expects_followers_ = false;
  std::array<store::ChangeHistory, peer::kAllStoreKinds.size()> histories_;
  std::map<std::string, Follower> followers_;
};

/** @param objects as read from the store. @return them as they are sent. */
std::vector<peer::StoreObject> ToWire(
    const std::vector<store::SourceObject>& objects);

/**
 * @param changes as received.
 * @return them as the store would tell them; nullopt if an object's content is
 *     no JSON object.
 */
std::optional<store::ChangeBatch> FromWire(const peer::StoreChanges& changes);

}  // namespace turmeric::entry
