#include "turmeric/store/resumable_watch.h"

#include <algorithm>
#include <set>

namespace turmeric::store {

using utils::Errc;

ResumableWatch::ResumableWatch(
    ObjectStore& store, std::string prefix,
    std::function<void(const StoredObject&)> on_change,
    std::function<KeyRevisions()> known_keys)
    : store_(store),
      prefix_(std::move(prefix)),
      on_change_(std::move(on_change)),
      known_keys_(std::move(known_keys)) {}

ResumableWatch::~ResumableWatch() {
  if (armed()) store_.CancelWatch(watch_id_);
}

utils::Result<void> ResumableWatch::Arm() {
  int64_t from = 0;
  {
    std::lock_guard lock(mu_);
    if (armed_) return boost::outcome_v2::success();
    from = revision_;
    // Set before the call: the watch may break while it is being armed, and
    // OnEvent's `armed_ = false` must not be overwritten.
    armed_ = true;
  }
  auto start_watch = [this](int64_t after) {
    return store_.Watch(prefix_, after,
                        [this](const auto& event) { OnEvent(event); });
  };
  auto id = start_watch(from);
  if (!id && id.error().code == Errc::kStoreRevisionGone) {
    if (auto listed = ResyncFromList(); listed) id = start_watch(revision());
  }
  std::lock_guard lock(mu_);
  if (!id) {
    armed_ = false;
    return id.error();
  }
  watch_id_ = id.value();
  synced_ = true;
  return boost::outcome_v2::success();
}

utils::Result<void> ResumableWatch::ResyncFromList() {
  auto list = store_.List(prefix_);
  if (!list) return list.error();
  std::vector<StoredObject>& objects = list.value().objects;
  std::ranges::sort(objects, {}, &StoredObject::revision);
  std::set<std::string, std::less<>> live;
  for (const StoredObject& o : objects) live.insert(o.key);
  // Guard: the list does not show that a key was deleted while the watch was
  // broken. Without the tombstone delivered here, a removed organisation would
  // stay in force until a restart. The tombstone's revision is the one after
  // the key's last known revision, so that a later re-creation is still newer.
  for (const auto& [key, known_revision] : known_keys_()) {
    if (live.contains(key)) continue;
    StoredObject tombstone;
    tombstone.key = key;
    tombstone.revision = known_revision + 1;
    tombstone.deleted = true;
    on_change_(tombstone);
  }
  std::ranges::for_each(objects, [this](const StoredObject& o) { OnEvent(o); });
  std::lock_guard lock(mu_);
  revision_ = std::max(revision_, list.value().revision);
  return boost::outcome_v2::success();
}

bool ResumableWatch::armed() const {
  std::lock_guard lock(mu_);
  return armed_;
}

bool ResumableWatch::synced() const {
  std::lock_guard lock(mu_);
  return synced_;
}

int64_t ResumableWatch::revision() const {
  std::lock_guard lock(mu_);
  return revision_;
}

void ResumableWatch::OnEvent(const utils::Result<StoredObject>& event) {
  if (!event) {
    // The watch broke (store outage). The next Arm() resumes from revision_,
    // so no change is missed.
    std::lock_guard lock(mu_);
    armed_ = false;
    return;
  }
  {
    std::lock_guard lock(mu_);
    if (event.value().revision <= revision_) return;  // A replay.
    revision_ = event.value().revision;
  }
  on_change_(event.value());
}

}  // namespace turmeric::store
