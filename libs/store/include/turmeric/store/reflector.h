#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <span>
#include <string>

#include "turmeric/store/object_source.h"

namespace turmeric::store {

/** What a reflector reports. */
struct ReflectorEvents {
  /** A full list; `outage` is how long nothing had been heard before it. */
  std::function<void(std::span<const SourceObject>,
                     std::chrono::milliseconds outage)>
      on_list;
  /** One change. `outage` as above, for the first after a gap. */
  std::function<void(const SourceObject&, std::chrono::milliseconds outage)>
      on_change;
  /** The store answers again, or has stopped answering. */
  std::function<void(bool reachable, const std::string& why)> on_reachable;
};

/**
 * Follows all objects of one kind: lists them, waits for changes, lists anew
 * when the history is gone. One call to the store at a time.
 */
class Reflector : public QObject {
 public:
  /**
   * @param source the store; must outlive this. @param kind what to follow.
   * @param events called as objects change.
   */
  Reflector(ObjectSource& source, std::string kind, ReflectorEvents events);

  /** Begins with a list. */
  void Start();
  /** @return true once a list was read. */
  bool synced() const { return synced_; }
  /** @return true while the store answers. */
  bool reachable() const { return reachable_; }
  /** @return when the store last answered. */
  std::chrono::steady_clock::time_point heard_at() const { return heard_at_; }

 private:
  void List();
  void Watch();
  void OnListed(const utils::Result<SourceBatch>& batch);
  void OnChanges(const utils::Result<SourceBatch>& batch);
  void Heard();
  void OnError(const utils::Error& error);
  std::chrono::milliseconds Outage() const;

  ObjectSource& source_;
  std::string kind_;
  ReflectorEvents events_;
  QTimer again_;
  bool list_next_ = true;
  bool synced_ = false;
  bool reachable_ = false;
  int failures_ = 0;
  int64_t revision_ = 0;
  std::chrono::steady_clock::time_point called_at_;
  std::chrono::steady_clock::time_point heard_at_;
};

}  // namespace turmeric::store
