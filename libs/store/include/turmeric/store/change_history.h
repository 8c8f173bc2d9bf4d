#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "turmeric/store/change_batch.h"

namespace turmeric::store {

/**
 * The latest changes of one kind of object, from which a follower at an
 * earlier revision is brought up to date. Bounded; the oldest batches are
 * evicted first.
 */
class ChangeHistory {
 public:
  /** @param max_objects largest number of changed objects that are kept. */
  explicit ChangeHistory(size_t max_objects) : max_objects_(max_objects) {}

  /** @param batch merged changes; batches are added in the order of merging. */
  void Add(const ChangeBatch& batch);
  /**
   * Drops all changes and starts an empty history.
   * @param revision the store's revision at which the history starts.
   */
  void ResetTo(int64_t revision);
  /**
   * @param revision the revision up to which the follower has all changes.
   * @return the changes after it; nullopt if some of them were evicted, or if
   *     some were computed from a state other than the follower's.
   */
  std::optional<ChangeBatch> Since(int64_t revision) const;
  /** @return the revision up to which changes were added. */
  int64_t revision() const { return revision_; }

 private:
  size_t max_objects_;
  size_t object_count_ = 0;
  std::deque<ChangeBatch> batches_;
  int64_t first_revision_ = 0;  ///< Changes after this revision are kept.
  int64_t revision_ = 0;        ///< Revision of the last change added.
};

}  // namespace turmeric::store
