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
  /** For a batch that crosses an era boundary: hash of the replica's content
   * from which the changes were computed; 0 if not given. The batch applies to
   * every replica with the same content. */
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

}  // namespace turmeric::store
