#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/utils/result.h"

namespace turmeric::store {

/** Expected version meaning "the key must not exist" (conditional create). */
inline constexpr int64_t kAbsent = 0;
/** Expected version meaning "any version or none" (unconditional write). */
inline constexpr int64_t kAnyVersion = -1;

/** One object of the platform's object API. */
struct StoredObject {
  std::string key;
  std::string value;
  int64_t version = 0;   ///< Per key: 1 on creation, +1 per update.
  int64_t revision = 0;  ///< Store-wide revision of the last change.
  bool deleted = false;  ///< Tombstone; delivered only by watches.
};

/** All live objects under a prefix at one revision. */
struct ObjectList {
  std::vector<StoredObject> objects;  ///< Live objects, sorted by key.
  int64_t revision = 0;               ///< Store-wide revision of the list.
};

/** Called once per change under a watched prefix, and once with an error when
 * the watch breaks. The watcher then starts a watch from its last revision. */
using WatchCallback = std::function<void(const utils::Result<StoredObject>&)>;

/**
 * The platform's object API as this project uses it: versioned objects,
 * conditional updates and watches that resume from a revision. The platform
 * bills each call (an open watch counts once), so callers make few calls.
 * Errors: kStoreUnavailable (outage or timeout), kStoreConflict (precondition
 * failed), kStoreNotFound, kStoreAnswerLost (the write may have been applied),
 * kStoreRevisionGone (a watch from a revision older than the kept history).
 */
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;
  /** @param key object key. @return the object or kStoreNotFound. */
  virtual utils::Result<StoredObject> Get(std::string_view key) = 0;
  /** @param prefix key prefix. @return live objects under it, sorted by
   * key. */
  virtual utils::Result<ObjectList> List(std::string_view prefix) = 0;
  /**
   * Conditional write.
   * @param key object key.
   * @param value new value, at most 1 MB.
   * @param expected_version kAbsent, kAnyVersion or the current version.
   * @return the object as written.
   */
  virtual utils::Result<StoredObject> Put(std::string_view key,
                                          std::string_view value,
                                          int64_t expected_version) = 0;
  /**
   * Conditional delete.
   * @param key object key.
   * @param expected_version kAnyVersion or the current version.
   * @return failure as for Put.
   */
  virtual utils::Result<void> Delete(std::string_view key,
                                     int64_t expected_version) = 0;
  /**
   * Watches a prefix. Every change after `after_revision` is replayed first.
   * @param prefix key prefix.
   * @param after_revision last revision the watcher has applied.
   * @param callback called per change, and once with an error when the watch
   *     breaks.
   * @return an id for CancelWatch.
   */
  virtual utils::Result<int64_t> Watch(std::string_view prefix,
                                       int64_t after_revision,
                                       WatchCallback callback) = 0;
  /** Ends a watch. @param watch_id id from Watch; unknown ids are ignored. */
  virtual void CancelWatch(int64_t watch_id) = 0;
};

}  // namespace turmeric::store
