#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "turmeric/store/call_schedule.h"
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
 * waiting for its end; CallSchedule decides when. While passive, a reflector
 * only reads changes that it is known to lack, because the changes are relayed
 * by other instances; it resumes from the revision that the relayed changes
 * have reached.
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
   * the leader makes calls to an unreachable store, this reflector makes none
   * for some seconds, unless it is known to lack changes.
   * @param leader the probing reflector; must outlive this object.
   */
  void set_probe_leader(const Reflector& leader) { probe_leader_ = &leader; }
  /** Starts with a list. */
  void Start();
  /** @param passive true: only read changes that are known to be lacking.
   * @param heard_at see CallSchedule::SetPassive. */
  void SetPassive(bool passive, std::chrono::steady_clock::time_point heard_at =
                                    std::chrono::steady_clock::now());
  /** @param slow true: retry at long intervals while the store is unreachable,
   * because other instances probe it. */
  void set_slow_retry(bool slow);
  /** Advances to the revision up to which all changes were received by another
   * path than this reflector. @param revision the store's revision. */
  void AdvanceTo(int64_t revision);
  /**
   * Reads lacking changes from the store, also while passive.
   * @param revision revision up to which changes are lacking.
   */
  void CatchUp(int64_t revision);
  /** As CatchUp, but by a list, for changes that a watch does not deliver
   * because the store has begun a new era.
   * @param revision revision of the new era. */
  void CatchUpByList(int64_t revision);
  /**
   * Records that a peer instance has received a change of the kind. If it does
   * not arrive here soon, it is read from the store; an open watch then counts
   * as lost and is replaced.
   * @param revision the revision of the change.
   */
  void OnPeerChange(int64_t revision);
  /** Makes the calls that are due because the wait of a watch or the state of
   * the probe leader has changed. To be called several times a second. */
  void CheckDue() { MakeDueCalls(); }
  /** @return true once a list was received. */
  bool synced() const { return schedule_.synced(); }
  /** @return see CallSchedule::reachable. */
  bool reachable() const { return schedule_.reachable(); }
  /** @return see CallSchedule::lacking_since. */
  std::optional<std::chrono::steady_clock::time_point> lacking_since() const {
    return schedule_.lacking_since();
  }
  /** @return when a call of this reflector was last answered, so that all
   * earlier changes were received; the clock's epoch if none was. */
  std::chrono::steady_clock::time_point last_answer_at() const {
    return schedule_.answered_at();
  }

 private:
  void MakeDueCalls();
  void Make(const CallSchedule::Call& call);
  void OnListed(const CallSchedule::Call& call,
                const utils::Result<SourceBatch>& batch);
  void OnWatched(const CallSchedule::Call& call,
                 const utils::Result<SourceBatch>& batch);
  void OnFailed(const CallSchedule::Call& call, const utils::Error& error);
  CallSchedule::Situation CurrentSituation() const;

  ObjectSource& source_;
  std::string kind_;
  const Reflector* probe_leader_ = nullptr;
  ReflectorEvents events_;
  std::function<std::chrono::milliseconds()> watch_wait_;
  CallSchedule schedule_;
  QTimer next_decision_;
};

}  // namespace turmeric::store
