#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "turmeric/utils/result.h"

namespace turmeric::store {

/**
 * Decides when the changes of one kind of objects are read from the store, and
 * by which call. Performs no I/O; the current time is passed in.
 *
 * An active schedule watches the store without a pause. A passive one only
 * reads changes that it lacks: other instances pass the changes on. Whether
 * changes are lacking is derived from revisions and not from events, so a call
 * that fails, or that was made too early, is followed by another one.
 */
class CallSchedule {
 public:
  using Clock = std::chrono::steady_clock;

  /**
   * Longest time from the report of a change by another instance to the call
   * that reads it, while calls are answered.
   */
  static constexpr std::chrono::milliseconds kMaxReadDelay{2000};
  /**
   * Longest delay between a failed call and the next one while changes are
   * known to be lacking.
   */
  static constexpr std::chrono::milliseconds kMaxRetryDelay{600};

  /** A call that is to be made now. */
  struct Call {
    bool is_list = false;  ///< List all objects; else watch for changes.
    int64_t after = 0;     ///< Revision after which the watch begins.
    std::chrono::milliseconds wait{0};  ///< Longest wait of the watch.
    uint64_t sequence = 0;              ///< Identifies its outcome.
  };
  /** Inputs of a decision besides the outcomes of calls. */
  struct Situation {
    /** Wait of a watch that is started now, if the store is reachable. */
    std::chrono::milliseconds watch_wait{3000};
    /** Another schedule of this instance probes the unreachable store. */
    bool leader_probes = false;
  };
  /** Effect of the outcome of a call. */
  struct Outcome {
    bool is_current = false;  ///< false: the call was replaced; ignore it.
    bool reachable_changed = false;  ///< See reachable().
    /** Time since the last contact if the store was unreachable, else 0. */
    std::chrono::milliseconds outage{0};
  };

  /** Makes the first call, a list, due. */
  void Start() { started_ = true; }
  /**
   * @param passive true: only read changes that are known to be lacking.
   * @param heard_at when another path last had an answer of the store, as far
   *     as known; an outage that the first calls show began then.
   */
  void SetPassive(bool passive, Clock::time_point heard_at);
  /** @param slow true: probe an unreachable store at long intervals, because
   * other instances probe it. */
  void set_slow_retry(bool slow) { slow_retry_ = slow; }
  /**
   * Records that all changes up to a revision were received.
   * @param revision the store's revision.
   * @param now current time.
   */
  void AdvanceTo(int64_t revision, Clock::time_point now);
  /**
   * Records that changes exist which other instances will not pass on.
   * @param revision revision of the newest of them.
   * @param now current time.
   */
  void RequireUpTo(int64_t revision, Clock::time_point now);
  /** Makes the next call a list, as a watch cannot deliver what is lacking. */
  void RequireList() { list_next_ = true; }
  /**
   * Records that another instance has received a change, which is read from
   * the store if it does not arrive soon.
   * @param revision revision of the change.
   * @param now current time.
   */
  void OnPeerChange(int64_t revision, Clock::time_point now);

  /**
   * @param situation see Situation.
   * @param now current time.
   * @return the call to make now, which counts as made; nullopt if none is due.
   */
  std::optional<Call> TakeCall(const Situation& situation,
                               Clock::time_point now);
  /**
   * @param now current time.
   * @return when TakeCall is to be called again if nothing else happens; it is
   *     also to be called several times a second, as the situation changes.
   */
  std::optional<Clock::time_point> NextDecisionAt(Clock::time_point now) const;

  /**
   * Records the answer to a list.
   * @param call the list. @param revision revision of the answer.
   * @param now current time. @return its effect.
   */
  Outcome OnListed(const Call& call, int64_t revision, Clock::time_point now);
  /**
   * Records the answer to a watch.
   * @param call the watch. @param revision revision of the answer.
   * @param has_changes true if it contains changes.
   * @param now current time. @return its effect.
   */
  Outcome OnWatched(const Call& call, int64_t revision, bool has_changes,
                    Clock::time_point now);
  /**
   * Records a failed call.
   * @param call the call. @param code its error.
   * @param jitter factor on the retry delay, 0.6 to 1.2.
   * @param now current time. @return its effect.
   */
  Outcome OnFailed(const Call& call, utils::Errc code, double jitter,
                   Clock::time_point now);

  /** @return true once a list was received. */
  bool synced() const { return synced_; }
  /** @return true while the store counts as reachable: the last call was
   * answered, or none has failed since the last passive phase. */
  bool reachable() const { return reachable_; }
  /** @return true while calls are made to find out when the unreachable store
   * answers again. */
  bool probes() const;
  /** @return since when changes are known to be lacking; nullopt: none are. */
  std::optional<Clock::time_point> lacking_since() const {
    return lacks_changes() ? std::optional(lacking_since_) : std::nullopt;
  }
  /** @return when a call was last answered, so that all earlier changes were
   * received; the clock's epoch if none was. */
  Clock::time_point answered_at() const { return answered_at_; }

 private:
  /** The call in flight. */
  struct Flight {
    Call call;
    Clock::time_point started_at;
  };

  bool lacks_changes() const { return lacking_ > revision_; }
  void Require(int64_t revision, std::chrono::milliseconds delay,
               Clock::time_point now);
  std::optional<Clock::time_point> DueAt() const;
  bool ReplacesWatch(const Situation& situation, Clock::time_point now) const;
  Call Begin(const Situation& situation, Clock::time_point now);
  bool EndFlight(const Call& call);
  Outcome RecordAnswer(int64_t revision, Clock::time_point now);

  bool started_ = false;
  bool passive_ = false;
  bool slow_retry_ = false;
  bool list_next_ = true;
  bool synced_ = false;
  bool reachable_ = false;
  bool is_unconfirmed_ = false;  ///< No answer since the last passive phase.
  int64_t revision_ = 0;
  /** A lacking change up to this revision is read from lacking_due_ on. */
  int64_t lacking_ = 0;
  Clock::time_point lacking_since_;
  Clock::time_point lacking_due_;
  int64_t newest_lacking_ = 0;
  int failures_ = 0;            ///< Consecutive failed calls.
  int history_gone_count_ = 0;  ///< Consecutive kStoreRevisionGone errors.
  /** Consecutive watches that ended early without changes. */
  int early_watch_count_ = 0;
  std::optional<Flight> flight_;
  uint64_t sequence_ = 0;
  Clock::time_point not_before_;     ///< Of the call after an answer.
  Clock::time_point retry_at_;       ///< Of the call after a failure.
  Clock::time_point slow_retry_at_;  ///< As retry_at_, with slow_retry_.
  /** When a call for lacking changes, or for a lost watch, was last made. */
  Clock::time_point extra_call_at_;
  /** The last answer, here or on another path before the last passive phase
   * ended. */
  Clock::time_point contact_at_;
  Clock::time_point answered_at_;
};

}  // namespace turmeric::store
