#pragma once

#include <cstdint>
#include <vector>

#include "turmeric/store/object_source.h"
#include "turmeric/store/position.h"

namespace turmeric::store {

/**
 * All changes of one kind after one revision of the store and up to another,
 * in order. An object that is only marked as deleted carries the revision of
 * its deletion or of its last change before.
 */
struct ChangeBatch {
  int64_t follows = 0;
  int64_t revision = 0;
  std::vector<SourceObject> objects;
  /** Of changes that lead into an era: a hash of what they were derived from;
   * 0: not stated. They join on any state that holds the same. */
  uint64_t held_before = 0;
};

/** @param batch changes. @return true if the store came back from a copy in
 * between: they are what differs between the state that they follow and the
 * copy, and say nothing of the copy to who knows another state. */
inline bool LeadsIntoEra(const ChangeBatch& batch) {
  return EraOf(batch.follows) < EraOf(batch.revision);
}

}  // namespace turmeric::store
