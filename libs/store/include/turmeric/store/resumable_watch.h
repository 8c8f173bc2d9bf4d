#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

#include "turmeric/store/object_store.h"

namespace turmeric::store {

/**
 * A watch on one prefix that remembers the last revision delivered, so that
 * re-arming it after a break (store outage) replays exactly the changes
 * missed. One waiting call to the store while armed.
 */
class ResumableWatch {
 public:
  /**
   * @param store the platform's object API; must outlive this.
   * @param prefix key prefix to watch.
   * @param on_change called per change, in revision order.
   */
  ResumableWatch(ObjectStore& store, std::string prefix,
                 std::function<void(const StoredObject&)> on_change);
  ~ResumableWatch();
  ResumableWatch(const ResumableWatch&) = delete;
  ResumableWatch& operator=(const ResumableWatch&) = delete;

  /** @return kStoreUnavailable while the store is down; else armed. */
  utils::Result<void> Arm();
  /** @return true while the watch is armed. */
  bool armed() const;
  /** @return revision of the last change delivered. */
  int64_t revision() const;

 private:
  void OnEvent(const utils::Result<StoredObject>& event);

  ObjectStore& store_;
  std::string prefix_;
  std::function<void(const StoredObject&)> on_change_;
  mutable std::mutex mu_;
  int64_t revision_ = 0;
  int64_t watch_id_ = 0;
  bool armed_ = false;
};

}  // namespace turmeric::store
