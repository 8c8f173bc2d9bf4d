#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "turmeric/store/change_batch.h"

namespace turmeric::store {

/**
 * The latest changes of one kind, for somebody who knows an earlier revision.
 * Bounded; older ones are forgotten.
 */
class ChangeHistory {
 public:
  /** @param most objects that are remembered. */
  explicit ChangeHistory(size_t most) : most_(most) {}

  /** @param batch changes that were merged, in the order of merging. */
  void Add(const ChangeBatch& batch);
  /** Nobody needs changes up to this revision. @param revision the store's. */
  void BeginAt(int64_t revision);
  /**
   * @param revision up to which somebody knows all changes.
   * @return the changes after it; nullopt if some are no longer remembered.
   */
  std::optional<ChangeBatch> Since(int64_t revision) const;
  /** @return up to which revision changes were added. */
  int64_t revision() const { return revision_; }

 private:
  size_t most_;
  size_t objects_ = 0;
  std::deque<ChangeBatch> batches_;
  int64_t first_ = 0;     ///< Changes after this revision are remembered.
  int64_t revision_ = 0;  ///< Up to this one.
};

}  // namespace turmeric::store
