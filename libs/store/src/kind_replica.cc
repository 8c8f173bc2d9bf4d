#include "turmeric/store/kind_replica.h"

#include <QHash>
#include <algorithm>
#include <set>
#include <string_view>

namespace turmeric::store {

bool KindReplica::IsNew(const SourceObject& object) const {
  const auto it = entries_.find(object.name);
  if (object.deleted) {
    // A deletion may carry the revision of the object's last change before it,
    // so the deletion is new unless the replica has a later change of the name.
    return it != entries_.end() && object.revision >= it->second.position;
  }
  // A list of several pages may contain objects newer than its revision. A
  // change that is older than such an object and arrives after the list must
  // not revert it.
  const Position known = it == entries_.end() ? 0 : it->second.position;
  return !synced_ || object.revision > std::max(revision_, known);
}

bool KindReplica::IsAhead(const SourceObject& object) const {
  const auto it = entries_.find(object.name);
  return it != entries_.end() && object.revision > revision_ &&
         object.revision == it->second.position;
}

bool KindReplica::HasSameContent(const SourceObject& object) const {
  const auto it = entries_.find(object.name);
  return it != entries_.end() && it->second.content_hash == qHash(object.spec);
}

void KindReplica::Record(const SourceObject& object) {
  if (object.deleted) {
    entries_.erase(object.name);
  } else {
    entries_[object.name] = {object.revision, qHash(object.spec)};
  }
  newest_change_ = std::max(newest_change_, object.revision);
}

uint64_t KindReplica::ContentHash() const {
  uint64_t hash = 1;
  for (const auto& [name, entry] : entries_) {
    hash = hash * 1099511628211ULL ^
           qHash(QByteArrayView(name), entry.content_hash);
  }
  return std::max<uint64_t>(1, hash);
}

std::vector<SourceObject> KindReplica::DeletedBefore(
    const ChangeBatch& difference) const {
  std::set<std::string_view> changed;
  for (const SourceObject& object : difference.objects) {
    changed.insert(object.name);
  }
  std::vector<SourceObject> deleted;
  for (const auto& [name, entry] : entries_) {
    const bool is_covered = entry.position > difference.follows &&
                            entry.position <= difference.revision;
    if (!is_covered || changed.contains(name)) continue;
    deleted.push_back({.name = name,
                       .spec = {},
                       .revision = difference.revision,
                       .deleted = true});
  }
  return deleted;
}

std::optional<ChangeBatch> KindReplica::MergeList(const SourceBatch& list) {
  if (synced_ && list.revision < revision_) return std::nullopt;
  // The first list is no sequence of changes, as it does not contain earlier
  // deletions. If it were relayed as the changes since revision 0, a follower
  // would keep upstreams that were deleted before the list.
  ChangeBatch changes{.follows = synced_ ? revision_ : list.revision,
                      .revision = list.revision,
                      .objects = {}};
  const bool later_era = synced_ && EraOf(list.revision) > EraOf(revision_);
  if (synced_) changes.held_before = ContentHash();
  std::set<std::string_view> listed;
  for (const SourceObject& object : list.objects) {
    listed.insert(object.name);
    if (later_era && HasSameContent(object)) {
      entries_[object.name].position = object.revision;
    } else if (IsNew(object) || IsAhead(object)) {
      // The difference names all objects that were changed after its start, as
      // receivers delete the others.
      changes.objects.push_back(object);
    }
  }
  for (const auto& [name, entry] : entries_) {
    if (listed.contains(name)) continue;
    // A follower may have a later state of the object than this replica, and
    // would ignore a deletion at the position of the earlier state.
    changes.objects.push_back(
        {.name = name, .spec = {}, .revision = list.revision, .deleted = true});
  }
  std::ranges::for_each(changes.objects,
                        [this](const SourceObject& o) { Record(o); });
  revision_ = list.revision;
  synced_ = true;
  return changes;
}

KindReplica::MergeResult KindReplica::Merge(const ChangeBatch& batch) {
  if (!synced_) return {Outcome::kGap, {}};
  if (batch.revision <= revision_) return {};
  // Guard: changes into a new era are the difference between one state and the
  // restored copy. Applied to any other state, they would leave an upstream in
  // use that the copy does not contain.
  const bool applies =
      CrossesEraBoundary(batch)
          ? batch.follows == revision_ || batch.held_before == ContentHash()
          : batch.follows <= revision_;
  if (!applies) return {Outcome::kGap, {}};
  MergeResult result{Outcome::kMerged, {}};
  if (IsListDifference(batch)) result.changes = DeletedBefore(batch);
  std::ranges::for_each(result.changes,
                        [this](const SourceObject& o) { Record(o); });
  // One by one, as an object may change more than once in a batch.
  for (const SourceObject& object : batch.objects) {
    if (!IsNew(object)) continue;
    Record(object);
    result.changes.push_back(object);
  }
  revision_ = batch.revision;
  return result;
}

}  // namespace turmeric::store
