#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <string>

#include "turmeric/store/change_batch.h"
#include "turmeric/store/object_source.h"

namespace turmeric::store {

/** Callbacks of a Reflector. */
struct ReflectorEvents {
  /** Called with a full list. `outage` is the time since the last contact if
   * the store was unreachable before this answer, else 0. */
  std::function<void(const SourceBatch&, std::chrono::milliseconds outage)>
      on_list;
  /** Called with the changes of a watch, possibly none. `outage` has the same
   * meaning as for `on_list`. */
  std::function<void(const ChangeBatch&, std::chrono::milliseconds outage)>
      on_changes;
  /** Called with the reason when the store becomes reachable or unreachable. */
  std::function<void(bool reachable, const std::string& reason)> on_reachable;
};

/**
 * Follows all objects of one kind in the store: lists them, watches for
 * changes, and lists again when the store no longer has the history. Makes one
 * call to the store at a time, except that a lost watch is replaced without
 * waiting for its end. While passive, a reflector makes no calls because the
 * changes are relayed by other instances; it resumes from the revision that
 * the relayed changes have reached.
 */
class Reflector : public QObject {
 public:
  /**
   * @param source the store; must outlive this object.
   * @param kind kind of objects to follow.
   * @param events callbacks.
   */
  Reflector(ObjectSource& source, std::string kind, ReflectorEvents events);

  /** @param wait called for each watch while the store is reachable, returns
   * how long the watch waits; the default is 3 s. */
  void set_watch_wait(std::function<std::chrono::milliseconds()> wait) {
    watch_wait_ = std::move(wait);
  }
  /**
   * Sets a reflector of the same store that probes it during an outage. While
   * neither the leader nor this reflector reaches the store, this reflector
   * makes no calls.
   * @param leader the probing reflector; must outlive this object.
   */
  void set_probe_leader(const Reflector& leader) { probe_leader_ = &leader; }
  /** Starts with a list. */
  void Start();
  /** @param passive true: make no further calls, except one per CatchUp. */
  void SetPassive(bool passive);
  /** @param slow true: retry at long intervals while the store is unreachable,
   * because other instances probe it. */
  void set_slow_retry(bool slow);
  /** Advances to the revision up to which all changes were received by another
   * path than this reflector. @param revision the store's revision. */
  void AdvanceTo(int64_t revision);
  /** Requests missing changes from the store with one call, also while
   * passive. */
  void CatchUp();
  /** As CatchUp, but by a list, for changes that a watch does not deliver
   * because the store has begun a new era. */
  void CatchUpByList();
  /**
   * Records that a peer instance has received a change of the kind. If the open
   * watch does not deliver it soon, the watch counts as lost and is replaced.
   * @param revision the revision of the change.
   */
  void OnPeerChange(int64_t revision);
  /** Replaces the open watch if it has been open for longer than a watch
   * started now would be. To be called several times a second. */
  void CheckWatchOverdue();
  /** @return true once a list was received. */
  bool synced() const { return synced_; }
  /** @return true while the store counts as reachable: the last call was
   * answered, or no call was made since the last passive phase. */
  bool reachable() const { return reachable_; }
  /** @return when the store last answered, or when the last passive phase
   * ended, if that is later. */
  std::chrono::steady_clock::time_point last_contact_at() const {
    return last_contact_at_;
  }
  /** @return when a call of this reflector was last answered, so that all
   * earlier changes were received; the clock's epoch if none was. */
  std::chrono::steady_clock::time_point last_answer_at() const {
    return last_answer_at_;
  }

 private:
  void MakeNextCall();
  void List();
  void Watch();
  void OnListed(const utils::Result<SourceBatch>& batch);
  void OnChanges(int64_t follows, const utils::Result<SourceBatch>& batch);
  void ScheduleNextCall(std::chrono::milliseconds delay);
  void RecordAnswer();
  void OnError(const utils::Error& error);
  void OnHistoryGone();
  /** @return the delay after a watch that ended without changes. */
  std::chrono::milliseconds DelayAfterEmptyWatch();
  void RestartWatch();
  std::chrono::milliseconds NormalWatchWait() const;
  std::chrono::milliseconds OutageDuration() const;

  ObjectSource& source_;
  std::string kind_;
  const Reflector* probe_leader_ = nullptr;
  ReflectorEvents events_;
  std::function<std::chrono::milliseconds()> watch_wait_;
  QTimer next_call_;  ///< Timer of the delay before the next call.
  /** Runs while a change reported by a peer may still arrive. */
  QTimer peer_timer_;
  bool list_next_ = true;
  bool passive_ = false;
  bool slow_retry_ = false;
  bool catch_up_pending_ = false;   ///< CatchUp was requested.
  bool watch_is_catch_up_ = false;  ///< The last watch was for CatchUp.
  bool synced_ = false;
  bool reachable_ = false;
  int failures_ = 0;
  int history_gone_count_ = 0;  ///< Consecutive kStoreRevisionGone errors.
  /** Consecutive watches that ended early without changes. */
  int early_watch_count_ = 0;
  int64_t revision_ = 0;
  /** Revision of the newest change that peers have received. */
  int64_t peer_change_ = 0;
  bool call_in_flight_ = false;
  bool watch_in_flight_ = false;  ///< The call in flight is a watch.
  /** Number of the open watch; answers to earlier watches are ignored. */
  uint64_t watch_sequence_ = 0;
  /** Requested wait of the last watch. */
  std::chrono::milliseconds requested_wait_{0};
  std::chrono::steady_clock::time_point call_started_at_;
  /** When the last call for CatchUp or for a lost watch was made. */
  std::chrono::steady_clock::time_point last_extra_call_at_;
  std::chrono::steady_clock::time_point last_contact_at_;
  std::chrono::steady_clock::time_point last_answer_at_;
};

}  // namespace turmeric::store
