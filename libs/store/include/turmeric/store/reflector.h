#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <string>

#include "turmeric/store/change_batch.h"
#include "turmeric/store/object_source.h"

namespace turmeric::store {

/** What a reflector reports. */
struct ReflectorEvents {
  /** A full list; `outage` is how long nothing had been heard before it. */
  std::function<void(const SourceBatch&, std::chrono::milliseconds outage)>
      on_list;
  /** Changes, none or some. `outage` as above, for the first after a gap. */
  std::function<void(const ChangeBatch&, std::chrono::milliseconds outage)>
      on_changes;
  /** The store answers again, or has stopped answering. */
  std::function<void(bool reachable, const std::string& why)> on_reachable;
};

/**
 * Follows all objects of one kind: lists them, waits for changes, lists anew
 * when the history is gone. One call to the store at a time. It can rest
 * while the changes come another way, and goes on from what is known then.
 */
class Reflector : public QObject {
 public:
  /**
   * @param source the store; must outlive this. @param kind what to follow.
   * @param events called as objects change.
   */
  Reflector(ObjectSource& source, std::string kind, ReflectorEvents events);

  /** @param wait asked for how long a watch waits while the store answers;
   * its answer may change with time. Without it, 3 s. */
  void set_watch_wait(std::function<std::chrono::milliseconds()> wait) {
    watch_wait_ = std::move(wait);
  }
  /**
   * Another reflector of the same store finds out when it is back; while it
   * does not reach the store, this one waits for it after a failure.
   * @param lead the other; must outlive this.
   */
  void Follow(const Reflector& lead) { lead_ = &lead; }
  /** Begins with a list. */
  void Start();
  /** @param resting true: no further call, except one for CatchUp. */
  void Rest(bool resting);
  /** @param patient true: others find out when the store is back; while it is
   * away this one asks seldom. */
  void set_patient(bool patient);
  /** All changes up to this revision have come another way.
   * @param revision the store's. */
  void AdvanceTo(int64_t revision);
  /** Changes are missing: asks the store for them once, also while resting. */
  void CatchUp();
  /** The same, if a watch would not tell them: the store has begun an era. */
  void CatchUpByList();
  /**
   * Somebody else has seen a change of the kind. If our watch does not bring it
   * within a moment, it is lost, and another one is begun.
   * @param revision of the change.
   */
  void NoteChangeElsewhere(int64_t revision);
  /** To be called several times a second: begins another watch if the one that
   * waits has been waiting for longer than it should by now. */
  void CheckWait();
  /** @return true once a list was read. */
  bool synced() const { return synced_; }
  /** @return true while the store answers. */
  bool reachable() const { return reachable_; }
  /** @return when the store last answered. */
  std::chrono::steady_clock::time_point heard_at() const { return heard_at_; }
  /** @return when a call of ours was last answered, so that all changes of
   * before are known; the clock's beginning if none was. */
  std::chrono::steady_clock::time_point answered_at() const {
    return answered_at_;
  }

 private:
  void CallAgain();
  void List();
  void Watch();
  void OnListed(const utils::Result<SourceBatch>& batch);
  void OnChanges(int64_t follows, const utils::Result<SourceBatch>& batch);
  void Continue(std::chrono::milliseconds pause);
  void Heard();
  void OnError(const utils::Error& error);
  void OnHistoryGone();
  /** @return the pause after a watch that ended with nothing. */
  std::chrono::milliseconds PauseAfterNothing();
  void WatchAnew();
  std::chrono::milliseconds UsualWait() const;
  std::chrono::milliseconds Outage() const;

  ObjectSource& source_;
  std::string kind_;
  const Reflector* lead_ = nullptr;
  ReflectorEvents events_;
  std::function<std::chrono::milliseconds()> watch_wait_;
  QTimer again_;
  QTimer behind_;
  bool list_next_ = true;
  bool resting_ = false;
  bool patient_ = false;
  bool catch_up_ = false;         ///< One watch is wanted while resting.
  bool was_catching_up_ = false;  ///< The open call is that one.
  bool synced_ = false;
  bool reachable_ = false;
  int failures_ = 0;
  int gone_ = 0;   ///< Histories in a row that the store did not have.
  int early_ = 0;  ///< Watches in a row that ended early, for nothing.
  int64_t revision_ = 0;
  int64_t elsewhere_ = 0;      ///< The newest change that others have seen.
  bool calling_ = false;       ///< A call is open.
  bool waiting_ = false;       ///< It is a watch.
  uint64_t watch_number_ = 0;  ///< Tells the open watch from those given up.
  std::chrono::milliseconds wait_{0};  ///< Of the last watch.
  std::chrono::steady_clock::time_point called_at_;
  std::chrono::steady_clock::time_point anew_at_;
  std::chrono::steady_clock::time_point heard_at_;
  std::chrono::steady_clock::time_point answered_at_;
};

}  // namespace turmeric::store
