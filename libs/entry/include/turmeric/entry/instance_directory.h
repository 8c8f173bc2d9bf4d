#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <span>
#include <string>

#include "turmeric/entry/instance_info.h"
#include "turmeric/store/object_source.h"

namespace turmeric::entry {

/**
 * Reads the store's list of instances and enters this one unless it stands
 * there: at the start, then seldom, from reads that may be stale. Entries of
 * instances that are gone stay: a reader must find out who answers.
 */
class InstanceDirectory : public QObject {
 public:
  /** Told the list each time it was read, with us in it, and whether we stand
   * in it for others to read. */
  using ChangeCallback = std::function<void(const Instances&, bool listed)>;

  /**
   * @param source the store; must outlive this. @param kind kind of the
   * entries. @param name our name. @param info what others are to know of us.
   * @param on_change see ChangeCallback.
   */
  InstanceDirectory(store::ObjectSource& source, std::string kind,
                    std::string name, InstanceInfo info,
                    ChangeCallback on_change);

  /** Begins to read, and enters this instance. */
  void Start();

 private:
  void Enter();
  /** Enters, at a time of its own. */
  void EnterLater();
  void Read();
  void OnRead(std::span<const store::SourceObject> objects);

  store::ObjectSource& source_;
  std::string kind_;
  std::string name_;
  InstanceInfo info_;
  ChangeCallback on_change_;
  QTimer next_;
  QTimer enter_;
  int reads_ = 0;
  bool entered_ = false;
};

}  // namespace turmeric::entry
