#pragma once

#include <map>
#include <mutex>
#include <string>

#include "turmeric/store/resumable_watch.h"

namespace turmeric::store {

/** The live keys that a watch has delivered, with their revisions.
 * Thread-safe. */
class KnownRevisions {
 public:
  /** @param change a change as delivered by a watch. */
  void Apply(const StoredObject& change) {
    std::lock_guard lock(mu_);
    if (change.deleted) {
      revisions_.erase(change.key);
    } else {
      revisions_[change.key] = change.revision;
    }
  }
  /** @return a copy of the keys and revisions, for ResumableWatch. */
  KeyRevisions Snapshot() const {
    std::lock_guard lock(mu_);
    return {revisions_.begin(), revisions_.end()};
  }

 private:
  mutable std::mutex mu_;
  std::map<std::string, int64_t> revisions_;
};

}  // namespace turmeric::store
