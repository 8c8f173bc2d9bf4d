#include "turmeric/store/kind_replica.h"

#include <QHash>
#include <algorithm>
#include <set>
#include <string_view>

namespace turmeric::store {

bool KindReplica::IsNew(const SourceObject& object) const {
  const auto it = held_.find(object.name);
  if (object.deleted) {
    // The store may tell a deletion by the revision of the last change before,
    // so it is new as long as nothing later is held under the name.
    return it != held_.end() && object.revision >= it->second.position;
  }
  // A list of several pages may hold objects newer than its revision; changes
  // between the two that come later must not take them back.
  const Position held = it == held_.end() ? 0 : it->second.position;
  return !synced_ || object.revision > std::max(revision_, held);
}

bool KindReplica::IsHeldAsIs(const SourceObject& object) const {
  const auto it = held_.find(object.name);
  return it != held_.end() && it->second.content == qHash(object.spec);
}

void KindReplica::Note(const SourceObject& object) {
  if (object.deleted) {
    held_.erase(object.name);
  } else {
    held_[object.name] = {object.revision, qHash(object.spec)};
  }
  newest_change_ = std::max(newest_change_, object.revision);
}

uint64_t KindReplica::HeldContent() const {
  uint64_t sum = 1;
  for (const auto& [name, held] : held_) {
    sum = sum * 1099511628211ULL ^ qHash(QByteArrayView(name), held.content);
  }
  return std::max<uint64_t>(1, sum);
}

std::optional<ChangeBatch> KindReplica::MergeList(const SourceBatch& list) {
  if (synced_ && list.revision < revision_) return std::nullopt;
  // A first list holds no changes: what was deleted before it is not told.
  // Passed on as changes since the beginning, it would leave a follower with
  // upstreams that are gone.
  ChangeBatch changes{.follows = synced_ ? revision_ : list.revision,
                      .revision = list.revision,
                      .objects = {}};
  const bool later_era = synced_ && EraOf(list.revision) > EraOf(revision_);
  if (later_era) changes.held_before = HeldContent();
  std::set<std::string_view> listed;
  for (const SourceObject& object : list.objects) {
    listed.insert(object.name);
    if (later_era && IsHeldAsIs(object)) {
      held_[object.name].position = object.revision;
    } else if (IsNew(object)) {
      changes.objects.push_back(object);
    }
  }
  for (const auto& [name, held] : held_) {
    if (listed.contains(name)) continue;
    // Who has read the new era's list before holds the object as of that.
    const Position position = later_era ? list.revision : held.position;
    changes.objects.push_back(
        {.name = name, .spec = {}, .revision = position, .deleted = true});
  }
  std::ranges::for_each(changes.objects,
                        [this](const SourceObject& o) { Note(o); });
  revision_ = list.revision;
  synced_ = true;
  return changes;
}

KindReplica::Merged KindReplica::Merge(const ChangeBatch& batch) {
  if (!synced_) return {Outcome::kGap, {}};
  if (batch.revision <= revision_) return {};
  // Guard: applied to another state than the one that they follow, they would
  // leave an upstream in use that the copy lacks.
  const bool joins =
      LeadsIntoEra(batch)
          ? batch.follows == revision_ || batch.held_before == HeldContent()
          : batch.follows <= revision_;
  if (!joins) return {Outcome::kGap, {}};
  Merged merged{Outcome::kMerged, {}};
  for (const SourceObject& object : batch.objects) {
    if (!IsNew(object)) continue;
    Note(object);
    merged.news.push_back(object);
  }
  revision_ = batch.revision;
  return merged;
}

}  // namespace turmeric::store
