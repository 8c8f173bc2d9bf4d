#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <random>

#include "turmeric/store/object_store.h"

namespace turmeric::store {

/** Faults that MemoryStore injects, as they occur in the platform's store. */
struct StoreFaults {
  bool outage = false;            ///< Every call fails with kStoreUnavailable.
  double lose_answer_rate = 0.0;  ///< Share of writes whose answer is lost.
  uint64_t seed = 1;              ///< Seed of the random losses.
};

/** Calls that the platform would bill, counted as the platform counts them. */
struct StoreCallCounts {
  int64_t reads = 0;    ///< Get and List.
  int64_t writes = 0;   ///< Put and Delete, also if rejected.
  int64_t watches = 0;  ///< Watch calls; an open watch counts once.
};

/**
 * In-process implementation of the platform's object API, with injected
 * outages and lost answers. Thread-safe. Watch callbacks run on the writer's
 * thread without the store's mutex held.
 */
class MemoryStore : public ObjectStore {
 public:
  MemoryStore() = default;

  utils::Result<StoredObject> Get(std::string_view key) override;
  utils::Result<ObjectList> List(std::string_view prefix) override;
  utils::Result<StoredObject> Put(std::string_view key, std::string_view value,
                                  int64_t expected_version) override;
  utils::Result<void> Delete(std::string_view key,
                             int64_t expected_version) override;
  utils::Result<int64_t> Watch(std::string_view prefix, int64_t after_revision,
                               WatchCallback callback) override;
  void CancelWatch(int64_t watch_id) override;

  /** @param faults faults to inject from now on. The start of an outage ends
   * all watches with an error. */
  void SetFaults(const StoreFaults& faults);
  /** Drops all tombstones: a watch from an earlier revision fails with
   * kStoreRevisionGone, and its owner must list. */
  void Compact();
  /** @return the billed calls so far. */
  StoreCallCounts counts() const;
  /** @return the store-wide revision. */
  int64_t revision() const;

 private:
  struct WatchEntry {
    std::string prefix;
    WatchCallback callback;
  };
  utils::Result<void> CheckAvailable() const;
  bool DrawLostAnswer();
  void Notify(const StoredObject& change);

  mutable std::mutex mu_;
  std::map<std::string, StoredObject, std::less<>> objects_;
  std::map<int64_t, WatchEntry> watches_;
  StoreFaults faults_;
  std::mt19937_64 rng_{1};
  int64_t revision_ = 0;
  int64_t compacted_ = 0;  ///< Tombstones up to this revision are dropped.
  int64_t next_watch_id_ = 1;
  mutable StoreCallCounts counts_;
};

}  // namespace turmeric::store
