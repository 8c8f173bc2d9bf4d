#pragma once

#include <cstdint>
#include <vector>

#include "turmeric/store/object_source.h"
#include "turmeric/store/position.h"

namespace turmeric::store {

/**
 * All changes of one kind of object between two positions of the store, in
 * order. A deletion carries either the revision of the deletion or the
 * revision of the object's last change before it.
 */
struct ChangeBatch {
  int64_t follows = 0;   ///< Position before the first change (exclusive).
  int64_t revision = 0;  ///< Position after the last change (inclusive).
  std::vector<SourceObject> objects;
  /** For a batch that was computed from a list: hash of the replica's content
   * before it; 0 for other batches. Across an era boundary, the batch applies
   * to every replica with the same content. */
  uint64_t held_before = 0;
};

/**
 * @param batch changes.
 * @return true if the store was restored from a copy (began a new era) within
 *     the batch. The changes are then the difference between the state at
 *     `follows` and the copy, and do not apply to any other state.
 */
inline bool CrossesEraBoundary(const ChangeBatch& batch) {
  return EraOf(batch.follows) < EraOf(batch.revision);
}

/**
 * @param batch changes.
 * @return true if the changes are the difference between a list and a replica
 *     at `follows`, of the same era. They contain all objects that were changed
 *     since and still exist, but no objects that were created and deleted
 *     since.
 */
inline bool IsListDifference(const ChangeBatch& batch) {
  return batch.held_before != 0 && !CrossesEraBoundary(batch);
}

}  // namespace turmeric::store
