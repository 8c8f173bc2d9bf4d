#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "turmeric/store/change_batch.h"
#include "turmeric/store/position.h"

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
   * Takes over a full list of the store. One of a later era may be a copy of
   * an older state, with revisions given out again: what differs from what is
   * held is a change, the rest is held from now on as of the new era.
   * @param list all objects there are. @return the changes that lead from what
   *     was known to the list; of a first list its objects, as changes that
   *     follow nothing but itself; nullopt if it is older than what is known.
   */
  std::optional<ChangeBatch> MergeList(const SourceBatch& list);
  /** @param batch changes; those that lead into a later era must follow just
   * what is known here. @return what is new in them. */
  Merged Merge(const ChangeBatch& batch);

  /** @return true once a full list was merged. */
  bool synced() const { return synced_; }
  /** @return the revision up to which all changes are known. */
  int64_t revision() const { return revision_; }
  /** @return the newest change applied, by its revision; 0: none. */
  int64_t newest_change() const { return newest_change_; }

 private:
  bool IsNew(const SourceObject& object) const;
  /** @return true if the object is held with this content. */
  bool IsHeldAsIs(const SourceObject& object) const;
  void Note(const SourceObject& object);
  /** @return a hash of all objects held, their positions aside; never 0. */
  uint64_t HeldContent() const;

  /** What is known of one object. */
  struct Held {
    Position position = 0;  ///< Of its last change.
    size_t content = 0;     ///< Hash of its content.
  };

  std::map<std::string, Held> held_;  ///< By name.
  Position revision_ = 0;
  Position newest_change_ = 0;
  bool synced_ = false;
};

}  // namespace turmeric::store
