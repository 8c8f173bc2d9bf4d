#include "turmeric/store/resumable_watch.h"

namespace turmeric::store {

ResumableWatch::ResumableWatch(
    ObjectStore& store, std::string prefix,
    std::function<void(const StoredObject&)> on_change)
    : store_(store),
      prefix_(std::move(prefix)),
      on_change_(std::move(on_change)) {}

ResumableWatch::~ResumableWatch() {
  if (armed()) store_.CancelWatch(watch_id_);
}

utils::Result<void> ResumableWatch::Arm() {
  int64_t from = 0;
  {
    std::lock_guard lock(mu_);
    if (armed_) return boost::outcome_v2::success();
    from = revision_;
  }
  auto id = store_.Watch(prefix_, from,
                         [this](const auto& event) { OnEvent(event); });
  if (!id) return id.error();
  std::lock_guard lock(mu_);
  watch_id_ = id.value();
  armed_ = true;
  return boost::outcome_v2::success();
}

bool ResumableWatch::armed() const {
  std::lock_guard lock(mu_);
  return armed_;
}

int64_t ResumableWatch::revision() const {
  std::lock_guard lock(mu_);
  return revision_;
}

void ResumableWatch::OnEvent(const utils::Result<StoredObject>& event) {
  if (!event) {
    // The watch broke (store outage). The owner re-arms from revision_, so
    // no change in between is missed.
    std::lock_guard lock(mu_);
    armed_ = false;
    return;
  }
  {
    std::lock_guard lock(mu_);
    if (event.value().revision <= revision_) return;  // replayed: seen
    revision_ = event.value().revision;
  }
  on_change_(event.value());
}

}  // namespace turmeric::store
