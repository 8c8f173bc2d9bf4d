#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "store_model.h"
#include "turmeric/entry/follow_policy.h"
#include "turmeric/entry/instance_info.h"
#include "turmeric/entry/store_relay.h"
#include "turmeric/peer/frame.h"
#include "turmeric/store/call_schedule.h"
#include "turmeric/store/kind_replica.h"

namespace turmeric::entry::test {

/**
 * Virtual-time simulation of a fleet that follows two kinds of the store's
 * objects. The decisions are those of the product (CallSchedule, FollowPolicy,
 * StoreRelay, KindReplica); connections and the store are modelled. Upstreams
 * are passed on by relays, configurations are too large for that.
 */
class RelayFleetSimulation {
 public:
  using Clock = FollowPolicy::Clock;

  /** Duration of a step. */
  static constexpr std::chrono::milliseconds kStep{50};
  /** Wait of a watch while nothing changes. */
  static constexpr std::chrono::milliseconds kWatchWait{3000};

  /** State of an instance for one kind of objects. */
  struct Feed {
    struct Flight {
      store::CallSchedule::Call call;
      Clock::time_point started_at;
      bool refused = false;  ///< Fails at once.
      bool lost = false;     ///< Fails at its timeout.
    };
    store::KindReplica replica;
    store::CallSchedule schedule;
    std::optional<Flight> flight;
    StoreModel::Contents held;
  };
  /** One instance. */
  struct Node {
    std::string name;
    std::vector<std::string> preferred;  ///< Relays that it may follow.
    bool is_ranked = false;              ///< Is a relay of its zone.
    std::map<peer::StoreKind, Feed> feeds;
    std::unique_ptr<FollowPolicy> policy;
    std::unique_ptr<StoreRelay> relay;
    std::map<std::string, peer::Frame> outgoing;  ///< By follower.
    Clock::time_point frozen_until;
    Clock::time_point store_cut_until;
    Clock::time_point fault_ended_at;  ///< End of the last fault of any kind.
    /** Since when the instance runs and its path to the store works. */
    Clock::time_point reaches_store_since;
    bool watches = false;
    std::chrono::milliseconds phase{0};
  };

  /**
   * @param nodes number of instances. @param seed seed of all random choices.
   */
  RelayFleetSimulation(int nodes, uint32_t seed);

  /** @param below exclusive bound. @return a random number from 0. */
  int RandomBelow(int below) {
    return static_cast<int>(random_() % static_cast<uint32_t>(below));
  }
  /** @return a random instance. */
  Node& RandomNode();

  /** Advances time by one step. */
  void Step();
  /** Changes an object of a random kind. */
  void ChangeStore();
  /** Restores the objects of a random kind from an older copy. */
  void RestoreStore();
  /** Discards the store's history; open watches are cut off. */
  void DropHistory();
  /** Makes the store unreachable for all. @param time duration. */
  void BeginOutage(std::chrono::milliseconds time);
  /** Stops an instance. @param node the instance. @param time duration. */
  void Freeze(Node& node, std::chrono::milliseconds time);
  /** Cuts an instance off from the store. @param node the instance.
   * @param time duration. */
  void CutFromStore(Node& node, std::chrono::milliseconds time);
  /** @param node an instance that starts again. */
  void Restart(Node& node);
  /** Resets an instance's connections; frames in transit are lost.
   * @param name its name. */
  void BreakLinks(std::string_view name);

  /** @return true if all instances have all changes. */
  bool AllUpToDate() const;
  /** @return true if each instance holds the store's contents at some
   * revision. */
  bool AllConsistent() const;
  /**
   * @param bound time within which a change must arrive.
   * @param begin returns the time before which an instance may have been
   *     prevented from receiving changes.
   * @return name of an instance that lacks a change for longer; empty: none.
   */
  std::string LateNode(
      std::chrono::milliseconds bound,
      const std::function<Clock::time_point(const Node&)>& begin) const;
  /** @return number of instances that watch the store. */
  int64_t WatcherCount() const;
  /** @return number of calls made to the store. */
  int64_t calls() const { return calls_; }

 private:
  /** A frame in transit; `to_relay` is the direction. */
  struct FrameInTransit {
    Clock::time_point arrives;
    std::string from;
    std::string to;
    bool to_relay = false;
    peer::Frame frame;
  };

  void Start(std::string name);
  void NoteFault(Node& node, Clock::time_point end);
  bool ReachesStore(const Node& node) const;
  peer::StoreRevisions RevisionsOf(const Node& node) const;
  peer::RelayStatus StatusOf(const Node& node) const;
  Clock::time_point StoreAnsweredAt(const Node& node) const;
  bool synced(const Node& node) const;
  void MakeCalls(Node& node, peer::StoreKind kind);
  void AdvanceCall(Node& node, peer::StoreKind kind);
  void FailCall(Feed& feed, utils::Errc code);
  void AnswerList(Node& node, peer::StoreKind kind);
  void AnswerWatch(Node& node, peer::StoreKind kind,
                   const store::ChangeBatch& batch);
  void Apply(Feed& feed, const std::vector<store::SourceObject>& objects);
  void Decide(Node& node);
  void SendFollow(Node& node, const std::string& source, bool resync);
  void Send(FrameInTransit transit);
  void Flush(Node& node);
  void Deliver();
  void OnFollowRequest(Node& relay, const FrameInTransit& transit);
  void OnChanges(Node& node, const FrameInTransit& transit);
  void MergeRelayed(Node& node, const peer::StoreChanges& changes);

  std::mt19937 random_;
  Clock::time_point now_ = Clock::time_point(std::chrono::seconds(100));
  std::map<peer::StoreKind, StoreModel> stores_;
  Clock::time_point outage_until_;
  int64_t calls_ = 0;
  Instances fleet_;
  std::map<std::string, Node, std::less<>> nodes_;
  std::deque<FrameInTransit> in_transit_;
};

}  // namespace turmeric::entry::test
