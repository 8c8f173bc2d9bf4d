#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "turmeric/store/change_batch.h"

namespace turmeric::store {

/**
 * How far one kind of the store's objects is known here, whatever path its
 * changes come by: the store's own answers or other instances, late, twice, in
 * any order. Every change up to revision() is known and none after it, so
 * what was applied never goes back and a missing change always shows as a gap.
 */
class KindReplica {
 public:
  /** What became of a batch of changes. */
  enum class Outcome {
    kMerged,  ///< All that was new in it is applied.
    kKnown,   ///< It says nothing new.
    kGap,     ///< Changes before it are missing; nothing was applied.
  };
  /** Outcome of Merge and what is to be applied. */
  struct Merged {
    Outcome outcome = Outcome::kKnown;
    std::vector<SourceObject> news;
  };

  /**
   * Takes over a full list of the store.
   * @param list all objects there are. @return the changes that lead from what
   *     was known to the list; of a first list its objects, as changes that
   *     follow nothing but itself; nullopt if it is older than what is known.
   */
  std::optional<ChangeBatch> MergeList(const SourceBatch& list);
  /** @param batch changes. @return what is new in them. */
  Merged Merge(const ChangeBatch& batch);

  /** @return true once a full list was merged. */
  bool synced() const { return synced_; }
  /** @return the revision up to which all changes are known. */
  int64_t revision() const { return revision_; }
  /** @return the newest change applied, by its revision; 0: none. */
  int64_t newest_change() const { return newest_change_; }

 private:
  bool IsNew(const SourceObject& object) const;
  void Note(const SourceObject& object);

  std::map<std::string, int64_t> held_;  ///< Revisions by name.
  int64_t revision_ = 0;
  int64_t newest_change_ = 0;
  bool synced_ = false;
};

}  // namespace turmeric::store
