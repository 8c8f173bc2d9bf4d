#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <random>

#include "turmeric/store/object_store.h"

namespace turmeric::store {

/** Faults the stand-in injects, as the platform's service shows them. */
struct StoreFaults {
  bool outage = false;            ///< Every call fails kStoreUnavailable.
  double lose_answer_rate = 0.0;  ///< Writes applied, answer lost.
  uint64_t seed = 1;              ///< Seed for the loss draws.
};

/** Calls the platform would bill, counted as it counts them. */
struct StoreCallCounts {
  int64_t reads = 0;    ///< Get and List.
  int64_t writes = 0;   ///< Put and Delete, applied or not.
  int64_t watches = 0;  ///< Watch calls (a waiting watch counts once).
};

/**
 * In-process stand-in for the platform's object API, with injected outages
 * and lost answers. Thread-safe. Watch callbacks run on the writer's thread,
 * outside the lock.
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

  /** @param faults faults from now on; starting an outage breaks watches. */
  void SetFaults(const StoreFaults& faults);
  /** Forgets deletions: watches from an earlier revision must list. */
  void Compact();
  /** @return calls billed so far. */
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
  int64_t compacted_ = 0;  ///< Deletions up to here are forgotten.
  int64_t next_watch_ = 1;
  mutable StoreCallCounts counts_;
};

}  // namespace turmeric::store
