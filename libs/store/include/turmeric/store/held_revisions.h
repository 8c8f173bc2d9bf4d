#pragma once

#include <map>
#include <mutex>
#include <string>

#include "turmeric/store/resumable_watch.h"

namespace turmeric::store {

/** The live keys a watcher has seen, with their revisions. Thread-safe. */
class HeldRevisions {
 public:
  /** @param change as delivered by a watch. */
  void Note(const StoredObject& change) {
    std::lock_guard lock(mu_);
    if (change.deleted) {
      held_.erase(change.key);
    } else {
      held_[change.key] = change.revision;
    }
  }
  /** @return them, for ResumableWatch. */
  HeldKeys Held() const {
    std::lock_guard lock(mu_);
    return {held_.begin(), held_.end()};
  }

 private:
  mutable std::mutex mu_;
  std::map<std::string, int64_t> held_;
};

}  // namespace turmeric::store
