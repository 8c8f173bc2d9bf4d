#include "turmeric/store/change_history.h"

#include <algorithm>

namespace turmeric::store {

namespace {

bool IsDifference(const ChangeBatch& batch) {
  return CrossesEraBoundary(batch) || IsListDifference(batch);
}

size_t CountOf(const ChangeBatch& batch) {
  return std::max<size_t>(1, batch.objects.size());
}

}  // namespace

void ChangeHistory::ResetTo(int64_t revision) {
  batches_.clear();
  object_count_ = 0;
  first_revision_ = revision;
  revision_ = revision;
}

void ChangeHistory::Add(const ChangeBatch& batch) {
  if (batch.revision <= revision_) return;
  // A batch that leaves a gap after the last one starts a new history.
  if (batch.follows > revision_ || revision_ == 0) ResetTo(batch.follows);
  revision_ = batch.revision;
  // The difference of two states is kept even without changes: a follower at
  // any other state than `follows` must not skip it.
  const bool is_empty = batch.objects.empty() && !IsDifference(batch);
  if (is_empty || batch.follows == batch.revision) return;
  batches_.push_back(batch);
  object_count_ += CountOf(batch);
  while (object_count_ > max_objects_ && !batches_.empty()) {
    first_revision_ = batches_.front().revision;
    object_count_ -= CountOf(batches_.front());
    batches_.pop_front();
  }
}

std::optional<ChangeBatch> ChangeHistory::Since(int64_t revision) const {
  if (revision_ == 0 || revision < first_revision_) return std::nullopt;
  ChangeBatch changes{.follows = revision,
                      .revision = std::max(revision, revision_),
                      .objects = {}};
  for (const ChangeBatch& batch : batches_) {
    if (batch.revision <= revision) continue;
    if (IsDifference(batch) && batch.follows < revision) {
      return std::nullopt;
    }
    changes.objects.insert(changes.objects.end(), batch.objects.begin(),
                           batch.objects.end());
  }
  return changes;
}

}  // namespace turmeric::store
