#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "turmeric/store/object_store.h"

namespace turmeric::store {

/** Live keys, each with the revision of its last known change. */
using KeyRevisions = std::vector<std::pair<std::string, int64_t>>;

/**
 * A watch on one prefix that records the last revision delivered. Armed again
 * after a break (store outage), it replays exactly the missed changes. If the
 * store no longer has these changes, the prefix is listed instead, and known
 * keys that are missing from the list are delivered as deleted. Keeps one call
 * to the store open while armed. Thread-safe.
 */
class ResumableWatch {
 public:
  /**
   * @param store the platform's object API; must outlive this object.
   * @param prefix key prefix to watch.
   * @param on_change called per change, in revision order; after a list, a
   *     deletion may be delivered a second time.
   * @param known_keys called after a list, returns the owner's live keys.
   */
  ResumableWatch(ObjectStore& store, std::string prefix,
                 std::function<void(const StoredObject&)> on_change,
                 std::function<KeyRevisions()> known_keys);
  ~ResumableWatch();
  ResumableWatch(const ResumableWatch&) = delete;
  ResumableWatch& operator=(const ResumableWatch&) = delete;

  /** Starts the watch unless it is armed. @return the store's error if that
   * fails, e.g. kStoreUnavailable during an outage. */
  utils::Result<void> Arm();
  /** @return true while the watch is armed. */
  bool armed() const;
  /** @return true once the watch was armed for the first time, so that the
   * whole state under the prefix was delivered. */
  bool synced() const;
  /** @return the revision of the last change delivered. */
  int64_t revision() const;

 private:
  void OnEvent(const utils::Result<StoredObject>& event);
  utils::Result<void> ResyncFromList();

  ObjectStore& store_;
  std::string prefix_;
  std::function<void(const StoredObject&)> on_change_;
  std::function<KeyRevisions()> known_keys_;
  mutable std::mutex mu_;
  int64_t revision_ = 0;
  int64_t watch_id_ = 0;
  bool armed_ = false;
  bool synced_ = false;
};

}  // namespace turmeric::store
