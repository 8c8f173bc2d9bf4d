#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "turmeric/store/object_store.h"

namespace turmeric::store {

/** A watcher's keys under the prefix, each with the revision it holds. */
using HeldKeys = std::vector<std::pair<std::string, int64_t>>;

/**
 * A watch on one prefix that remembers the last revision delivered, so that
 * re-arming it after a break (store outage) replays exactly the changes
 * missed. If the store no longer has them, the prefix is listed instead and
 * what is missing there is delivered as deleted. One waiting call to the
 * store while armed. Thread-safe.
 */
class ResumableWatch {
 public:
  /**
   * @param store the platform's object API; must outlive this.
   * @param prefix key prefix to watch.
   * @param on_change called per change, in revision order; after a listing
   *     a deletion may be delivered again.
   * @param held_keys what the watcher holds, asked for after a listing.
   */
  ResumableWatch(ObjectStore& store, std::string prefix,
                 std::function<void(const StoredObject&)> on_change,
                 std::function<HeldKeys()> held_keys);
  ~ResumableWatch();
  ResumableWatch(const ResumableWatch&) = delete;
  ResumableWatch& operator=(const ResumableWatch&) = delete;

  /** @return kStoreUnavailable while the store is down; else armed. */
  utils::Result<void> Arm();
  /** @return true while the watch is armed. */
  bool armed() const;
  /** @return true once the watched state was delivered in full. */
  bool synced() const;
  /** @return revision of the last change delivered. */
  int64_t revision() const;

 private:
  void OnEvent(const utils::Result<StoredObject>& event);
  utils::Result<void> Relist();

  ObjectStore& store_;
  std::string prefix_;
  std::function<void(const StoredObject&)> on_change_;
  std::function<HeldKeys()> held_keys_;
  mutable std::mutex mu_;
  int64_t revision_ = 0;
  int64_t watch_id_ = 0;
  bool armed_ = false;
  bool synced_ = false;
};

}  // namespace turmeric::store
