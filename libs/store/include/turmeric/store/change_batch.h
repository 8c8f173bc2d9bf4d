#pragma once

#include <cstdint>
#include <vector>

#include "turmeric/store/object_source.h"

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
};

}  // namespace turmeric::store
