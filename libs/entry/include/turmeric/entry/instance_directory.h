#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <span>
#include <string>

#include "turmeric/entry/instance_info.h"
#include "turmeric/store/logged_objects.h"
#include "turmeric/store/object_source.h"

namespace turmeric::entry {

/**
 * Reads the store's list of instances and registers this instance unless the
 * list contains it. The list is read frequently at the start, later rarely and
 * with reads that may be stale. Entries of instances that no longer exist stay
 * in the list, so a reader must find out which instances are reachable.
 */
class InstanceDirectory : public QObject {
 public:
  /**
   * Called after each read of the list. The first argument is the list, with
   * the current entry of this instance added if it is missing; `listed` is true
   * if the store's list contains this entry.
   */
  using ChangeCallback = std::function<void(const Instances&, bool listed)>;

  /**
   * @param source the store; must outlive this object.
   * @param kind kind of the entries.
   * @param name name of this instance.
   * @param info entry of this instance.
   * @param on_change see ChangeCallback.
   */
  InstanceDirectory(store::ObjectSource& source, std::string kind,
                    std::string name, InstanceInfo info,
                    ChangeCallback on_change);

  /** Starts reading, and registers this instance. */
  void Start();

 private:
  void Register();
  /** Registers after a random delay. */
  void RegisterLater();
  void Read();
  void OnRead(std::span<const store::SourceObject> objects);

  store::ObjectSource& source_;
  std::string kind_;
  std::string name_;
  InstanceInfo info_;
  ChangeCallback on_change_;
  QTimer read_timer_;
  QTimer register_timer_;
  int reads_ = 0;
  bool registered_ = false;
  store::LoggedObjects unreadable_;
};

}  // namespace turmeric::entry
