#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <string>

#include "turmeric/store/object_source.h"

namespace turmeric::entry {

/** The instances of the fleet by name, with their peer addresses. */
using InstanceAddresses = std::map<std::string, std::string>;

/**
 * Enters this instance into the store's list of instances and reads the
 * list: at the start, then seldom, from reads that may be stale. Entries of
 * instances that are gone stay: a reader must find out who answers.
 */
class InstanceDirectory : public QObject {
 public:
  /** Told the list each time it was read. */
  using ChangeCallback = std::function<void(const InstanceAddresses&)>;

  /**
   * @param source the store; must outlive this. @param kind kind of the
   * entries. @param name our name. @param address our peer address.
   * @param on_change see ChangeCallback.
   */
  InstanceDirectory(store::ObjectSource& source, std::string kind,
                    std::string name, std::string address,
                    ChangeCallback on_change);

  /** Enters this instance and begins to read. */
  void Start();

 private:
  void Enter();
  void Read(store::ObjectSource::Freshness freshness);

  store::ObjectSource& source_;
  std::string kind_;
  std::string name_;
  std::string address_;
  ChangeCallback on_change_;
  QTimer next_;
  int reads_ = 0;
  bool entered_ = false;
};

}  // namespace turmeric::entry
