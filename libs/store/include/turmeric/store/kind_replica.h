#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "turmeric/store/change_batch.h"
#include "turmeric/store/position.h"

namespace turmeric::store {

/**
 * The state of this instance's replica of one kind of the store's objects:
 * per object, the position of its last change and a hash of its content.
 *
 * Changes arrive from the store's own answers or from other instances, late,
 * duplicated and in any order. The replica contains every change up to
 * revision() and none after it, so an applied change is never reverted, and a
 * missing change always shows as a gap.
 */
class KindReplica {
 public:
  /** How a batch of changes was handled. */
  enum class Outcome {
    kMerged,  ///< All new changes of the batch are applied.
    kKnown,   ///< The batch ends at or before revision(); nothing to apply.
    kGap,     ///< Changes before the batch are missing; nothing was applied.
  };
  /** Result of Merge. */
  struct MergeResult {
    Outcome outcome = Outcome::kKnown;
    /** Changes of the batch that were applied. */
    std::vector<SourceObject> changes;
  };

  /**
   * Replaces the state by a full list of the store. A list of a later era may
   * come from a copy of an older state, in which revisions are assigned a
   * second time: objects whose content differs count as changes; for all other
   * objects only the position is updated to the new era.
   * @param list all objects of the kind.
   * @return the changes from the previous state to the list; for the first
   *     list, its objects in a batch that follows the list's own revision;
   *     nullopt if the list is older than this replica.
   */
  std::optional<ChangeBatch> MergeList(const SourceBatch& list);
  /**
   * Applies a batch of changes.
   * @param batch changes. A batch that crosses an era boundary must follow
   *     exactly revision(), or be computed from the same content.
   * @return the outcome and the changes that are new.
   */
  MergeResult Merge(const ChangeBatch& batch);

  /** @return true once a full list was merged. */
  bool synced() const { return synced_; }
  /** @return the revision up to which all changes are applied. */
  int64_t revision() const { return revision_; }
  /** @return the revision of the newest change applied; 0 if none. */
  int64_t newest_change() const { return newest_change_; }

 private:
  bool IsNew(const SourceObject& object) const;
  /** @return true if the replica has this state of the object although it is
   * newer than revision(). */
  bool IsAhead(const SourceObject& object) const;
  /** @return true if the replica has the object with the same content. */
  bool HasSameContent(const SourceObject& object) const;
  void Record(const SourceObject& object);
  /** @return deletions of the objects that the replica received after the
   * difference's `follows` and that did not exist any more at its end. */
  std::vector<SourceObject> DeletedBefore(const ChangeBatch& difference) const;
  /** @return a hash over names and contents of all objects, without their
   * positions; never 0. */
  uint64_t ContentHash() const;

  /** State of one object. */
  struct Entry {
    Position position = 0;    ///< Position of the object's last change.
    size_t content_hash = 0;  ///< Hash of the object's spec.
  };

  std::map<std::string, Entry> entries_;  ///< By object name.
  Position revision_ = 0;
  Position newest_change_ = 0;
  bool synced_ = false;
};

}  // namespace turmeric::store
