#include "turmeric/store/memory_store.h"

#include <algorithm>
#include <vector>

namespace turmeric::store {

using utils::Errc;
using utils::Fail;
using utils::Result;

namespace {
bool HasPrefix(std::string_view key, std::string_view prefix) {
  return key.substr(0, prefix.size()) == prefix;
}
}  // namespace

Result<void> MemoryStore::CheckAvailable() const {
  if (faults_.outage) return Fail(Errc::kStoreUnavailable, "store outage");
  return boost::outcome_v2::success();
}

bool MemoryStore::DrawLostAnswer() {
  if (faults_.lose_answer_rate <= 0.0) return false;
  return std::uniform_real_distribution<double>(0, 1)(rng_) <
         faults_.lose_answer_rate;
}

Result<StoredObject> MemoryStore::Get(std::string_view key) {
  std::lock_guard lock(mu_);
  ++counts_.reads;
  if (auto ok = CheckAvailable(); !ok) return ok.error();
  auto it = objects_.find(key);
  if (it == objects_.end() || it->second.deleted) {
    return Fail(Errc::kStoreNotFound, std::string(key));
  }
  return it->second;
}

Result<ObjectList> MemoryStore::List(std::string_view prefix) {
  std::lock_guard lock(mu_);
  ++counts_.reads;
  if (auto ok = CheckAvailable(); !ok) return ok.error();
  ObjectList out;
  out.revision = revision_;
  for (auto it = objects_.lower_bound(prefix);
       it != objects_.end() && HasPrefix(it->first, prefix); ++it) {
    if (!it->second.deleted) out.objects.push_back(it->second);
  }
  return out;
}

Result<StoredObject> MemoryStore::Put(std::string_view key,
                                      std::string_view value,
                                      int64_t expected_version) {
  StoredObject written;
  bool lost = false;
  {
    std::lock_guard lock(mu_);
    ++counts_.writes;
    if (auto ok = CheckAvailable(); !ok) return ok.error();
    constexpr size_t kMaxValueBytes = 1 << 20;
    if (value.size() > kMaxValueBytes) {
      return Fail(Errc::kBadRequest, "value over 1 MB");
    }
    auto it = objects_.find(key);
    const bool live = it != objects_.end() && !it->second.deleted;
    const int64_t current = live ? it->second.version : kAbsent;
    if (expected_version != kAnyVersion && expected_version != current) {
      return Fail(Errc::kStoreConflict, std::string(key) + " is at version " +
                                            std::to_string(current));
    }
    StoredObject& obj = objects_[std::string(key)];
    obj.key = std::string(key);
    obj.value = std::string(value);
    obj.version = current + 1;
    obj.revision = ++revision_;
    obj.deleted = false;
    written = obj;
    lost = DrawLostAnswer();
  }
  Notify(written);
  // The write is applied, and only its answer is lost, as on the platform.
  if (lost) return Fail(Errc::kStoreAnswerLost, "answer lost after write");
  return written;
}

Result<void> MemoryStore::Delete(std::string_view key,
                                 int64_t expected_version) {
  StoredObject tombstone;
  bool lost = false;
  {
    std::lock_guard lock(mu_);
    ++counts_.writes;
    if (auto ok = CheckAvailable(); !ok) return ok.error();
    auto it = objects_.find(key);
    if (it == objects_.end() || it->second.deleted) {
      return Fail(Errc::kStoreNotFound, std::string(key));
    }
    if (expected_version != kAnyVersion &&
        expected_version != it->second.version) {
      return Fail(Errc::kStoreConflict, std::string(key));
    }
    it->second.deleted = true;
    it->second.value.clear();
    it->second.revision = ++revision_;
    tombstone = it->second;
    lost = DrawLostAnswer();
  }
  Notify(tombstone);
  if (lost) return Fail(Errc::kStoreAnswerLost, "answer lost after delete");
  return boost::outcome_v2::success();
}

Result<int64_t> MemoryStore::Watch(std::string_view prefix,
                                   int64_t after_revision,
                                   WatchCallback callback) {
  std::vector<StoredObject> replay;
  int64_t id = 0;
  {
    std::lock_guard lock(mu_);
    ++counts_.watches;
    if (auto ok = CheckAvailable(); !ok) return ok.error();
    if (after_revision > 0 && after_revision < compacted_) {
      return Fail(Errc::kStoreRevisionGone, std::string(prefix));
    }
    for (const auto& [key, obj] : objects_) {
      if (HasPrefix(key, prefix) && obj.revision > after_revision) {
        replay.push_back(obj);
      }
    }
    id = next_watch_id_++;
    watches_[id] = WatchEntry{std::string(prefix), callback};
  }
  std::ranges::sort(replay, {}, &StoredObject::revision);
  std::ranges::for_each(replay, [&](const StoredObject& o) { callback(o); });
  return id;
}

void MemoryStore::CancelWatch(int64_t watch_id) {
  std::lock_guard lock(mu_);
  watches_.erase(watch_id);
}

void MemoryStore::Notify(const StoredObject& change) {
  std::vector<WatchCallback> callbacks;
  {
    std::lock_guard lock(mu_);
    for (const auto& [id, w] : watches_) {
      if (HasPrefix(change.key, w.prefix)) callbacks.push_back(w.callback);
    }
  }
  std::ranges::for_each(callbacks, [&](const auto& cb) { cb(change); });
}

void MemoryStore::SetFaults(const StoreFaults& faults) {
  std::vector<WatchCallback> broken;
  {
    std::lock_guard lock(mu_);
    const bool outage_starts = faults.outage && !faults_.outage;
    if (faults.seed != faults_.seed) rng_.seed(faults.seed);
    faults_ = faults;
    if (outage_starts) {
      std::ranges::transform(watches_, std::back_inserter(broken),
                             [](const auto& kv) { return kv.second.callback; });
      watches_.clear();
    }
  }
  const Result<StoredObject> err =
      Fail(Errc::kStoreUnavailable, "watch broken by outage");
  std::ranges::for_each(broken, [&](const auto& cb) { cb(err); });
}

void MemoryStore::Compact() {
  std::lock_guard lock(mu_);
  std::erase_if(objects_, [](const auto& kv) { return kv.second.deleted; });
  compacted_ = revision_;
}

StoreCallCounts MemoryStore::counts() const {
  std::lock_guard lock(mu_);
  return counts_;
}

int64_t MemoryStore::revision() const {
  std::lock_guard lock(mu_);
  return revision_;
}

}  // namespace turmeric::store
