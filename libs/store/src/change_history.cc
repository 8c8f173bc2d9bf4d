#include "turmeric/store/change_history.h"

#include <algorithm>

namespace turmeric::store {

void ChangeHistory::BeginAt(int64_t revision) {
  batches_.clear();
  objects_ = 0;
  first_ = revision;
  revision_ = revision;
}

void ChangeHistory::Add(const ChangeBatch& batch) {
  if (batch.revision <= revision_) return;
  // A batch that does not join on what is here begins a new history.
  if (batch.follows > revision_ || revision_ == 0) BeginAt(batch.follows);
  revision_ = batch.revision;
  // One that leads into an era is remembered also if nothing differs: who knows
  // another state than the one before must not pass over it.
  const bool says_nothing = batch.objects.empty() && !LeadsIntoEra(batch);
  if (says_nothing || batch.follows == batch.revision) return;
  batches_.push_back(batch);
  objects_ += batch.objects.size();
  while (objects_ > most_ && !batches_.empty()) {
    first_ = batches_.front().revision;
    objects_ -= batches_.front().objects.size();
    batches_.pop_front();
  }
}

std::optional<ChangeBatch> ChangeHistory::Since(int64_t revision) const {
  if (revision_ == 0 || revision < first_) return std::nullopt;
  ChangeBatch changes{.follows = revision,
                      .revision = std::max(revision, revision_),
                      .objects = {}};
  for (const ChangeBatch& batch : batches_) {
    if (batch.revision <= revision) continue;
    if (LeadsIntoEra(batch) && batch.follows < revision) return std::nullopt;
    changes.objects.insert(changes.objects.end(), batch.objects.begin(),
                           batch.objects.end());
  }
  return changes;
}

}  // namespace turmeric::store
