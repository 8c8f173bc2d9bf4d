#include "turmeric/routing/upstream_table.h"

#include <algorithm>
#include <set>

namespace turmeric::routing {

void UpstreamTable::Put(const UpstreamEntry& entry) {
  const auto it = by_id_.find(entry.id);
  if (it == by_id_.end()) {
    auto upstream = std::make_shared<Upstream>();
    upstream->entry = entry;
    by_id_.emplace(entry.id, upstream);
    by_service_[entry.service].push_back(std::move(upstream));
    return;
  }
  const UpstreamPtr& upstream = it->second;
  const bool leaves = entry.draining && !upstream->entry.draining;
  upstream->entry.draining = entry.draining;
  upstream->entry.slots = entry.slots;
  upstream->lapses_at = Clock::time_point::max();
  if (leaves && on_leave_) on_leave_(upstream);
}

void UpstreamTable::Drop(const UpstreamPtr& upstream) {
  upstream->listed = false;
  auto& of_service = by_service_[upstream->entry.service];
  std::erase(of_service, upstream);
  by_id_.erase(upstream->entry.id);
  if (on_leave_) on_leave_(upstream);
}

void UpstreamTable::Remove(std::string_view id, Clock::time_point keep_till) {
  const UpstreamPtr upstream = Find(id);
  if (!upstream) return;
  upstream->lapses_at = std::min(upstream->lapses_at, keep_till);
}

void UpstreamTable::ReplaceAll(std::span<const UpstreamEntry> entries,
                               Clock::time_point keep_till) {
  std::set<std::string_view> listed;
  for (const UpstreamEntry& entry : entries) {
    listed.insert(entry.id);
    Put(entry);
  }
  for (const auto& [id, upstream] : by_id_) {
    if (!listed.contains(id)) {
      upstream->lapses_at = std::min(upstream->lapses_at, keep_till);
    }
  }
}

void UpstreamTable::Expire(Clock::time_point now) {
  std::vector<UpstreamPtr> gone;
  for (const auto& [id, upstream] : by_id_) {
    if (upstream->lapses_at <= now) gone.push_back(upstream);
  }
  std::ranges::for_each(gone, [this](const UpstreamPtr& u) { Drop(u); });
}

std::span<const UpstreamPtr> UpstreamTable::ForService(
    const std::string& service) const {
  const auto it = by_service_.find(service);
  if (it == by_service_.end()) return {};
  return it->second;
}

UpstreamPtr UpstreamTable::Find(std::string_view id) const {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? nullptr : it->second;
}

}  // namespace turmeric::routing
