#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::entry {

/**
 * Decides from which sources an instance receives the store's changes: from two
 * relays (peer instances that pass changes on) or from the store itself.
 * Performs no I/O; the current time is passed in.
 */
class FollowPolicy {
 public:
  using Clock = std::chrono::steady_clock;

  /**
   * Relays followed at a time, so that changes keep arriving when one fails.
   */
  static constexpr size_t kSources = 2;
  /**
   * Longest time for which an instance lacks a change while its own path to the
   * store works, whatever its relays do, for watches of up to 5 s.
   */
  static constexpr std::chrono::milliseconds kMaxBehind{8500};

  /** State of a followed relay, or the reason why it is no longer followed. */
  enum class Fault {
    kNone,        ///< No fault found; the first answer may be pending.
    kNoAnswer,    ///< No answer to the first follow request.
    kSilent,      ///< The last status is older than the timeout.
    kBehind,      ///< The relay lacks changes known to this instance.
    kSuperseded,  ///< All preferred relays deliver changes instead.
  };
  /** A relay that is no longer followed. */
  struct Dropped {
    std::string name;
    Fault why = Fault::kNone;
  };
  /** The actions that the caller must take now. */
  struct Decision {
    std::vector<std::string>
        to_follow;                 ///< Relays to send a follow request to.
    std::vector<Dropped> to_drop;  ///< Relays to stop following.
    bool watch = false;            ///< Watch the store from this instance.
    /**
     * While the store is unreachable, retry at long intervals: followed relays
     * report when it is reachable again.
     */
    bool slow_retry = false;
    std::string_view why;  ///< Reason for `watch`, a fixed word for logs.
  };
  /** Inputs of a decision besides the statuses received from relays. */
  struct Situation {
    /**
     * Relays that may be followed, best first; nullopt: the fleet's list is not
     * known yet.
     */
    std::optional<std::vector<std::string>> preferred;
    bool is_relay = false;  ///< This instance is a relay or has followers.
    /** When the store last answered this instance. */
    Clock::time_point store_answered_at;
    /** How long a relay's watch waits at the store when nothing changes. */
    std::chrono::milliseconds watch_wait{5000};
  };

  /**
   * Records a status received from a relay.
   * @param name name of the relay.
   * @param store_age time since the last answer of the store on the relay's
   *     path to it.
   * @param behind true if the relay lacks changes that are known here.
   * @param now current time.
   */
  void OnStatus(const std::string& name, std::chrono::milliseconds store_age,
                bool behind, Clock::time_point now);
  /**
   * Records that the connection to a relay has ended, or that the relay has
   * begun a planned stop.
   * @param name name of the relay.
   * @param now current time.
   */
  void OnDisconnected(const std::string& name, Clock::time_point now);
  /**
   * @param situation see Situation.
   * @param now current time.
   * @return the actions to take.
   */
  Decision Decide(const Situation& situation, Clock::time_point now);
  /**
   * @param now current time.
   * @return time since the last answer of the store on the path of any followed
   *     relay that delivers changes; milliseconds::max() if there is no such
   *     relay.
   */
  std::chrono::milliseconds RelayedStoreAge(Clock::time_point now) const;
  /**
   * @param store_answered_at when the store last answered this instance.
   * @param now current time.
   * @return time since the last answer of the store to this instance or on the
   *     path of a followed relay.
   */
  std::chrono::milliseconds StoreAge(Clock::time_point store_answered_at,
                                     Clock::time_point now) const;
  /**
   * @param name name of an instance.
   * @return true if it is a followed relay.
   */
  bool IsFollowed(const std::string& name) const {
    return sources_.contains(name);
  }
  /** @return the followed relays. */
  std::vector<std::string> sources() const;

 private:
  struct Source {
    Clock::time_point requested_at;
    std::optional<Clock::time_point> last_status_at;
    std::chrono::milliseconds store_age{0};  ///< As of last_status_at.
    std::optional<Clock::time_point> behind_since;
  };
  /** A relay that is not followed until the backoff has elapsed. */
  struct Backoff {
    Clock::time_point until;
    std::chrono::milliseconds delay{0};
  };

  Fault FaultOf(const Source& source, Clock::time_point now) const;
  bool IsDelivering(const Source& source, Clock::time_point now) const;
  void BackOff(const std::string& name, Clock::time_point now);
  void DropFaulty(Clock::time_point now, Decision& decision);
  std::vector<std::string> Wanted(const Situation& situation,
                                  Clock::time_point now);
  void DecideWatch(const Situation& situation, Clock::time_point now,
                   Decision& decision);

  std::map<std::string, Source> sources_;
  std::map<std::string, Backoff> backoffs_;
  std::optional<Clock::time_point> started_;
  bool found_relay_ = false;   ///< A relay has sent a status since the start.
  bool search_ended_ = false;  ///< See kRelaySearchTime.
};

/**
 * @param fault reason why a relay is no longer followed.
 * @return its name in logs.
 */
std::string_view FaultName(FollowPolicy::Fault fault);

}  // namespace turmeric::entry
