#include "turmeric/routing/upstream_table.h"

#include <algorithm>

namespace turmeric::routing {

namespace {

/** An upstream that left longer ago is not in a copy of some seconds ago. */
constexpr std::chrono::minutes kLeftRemembered{2};

}  // namespace

void UpstreamTable::Add(const UpstreamEntry& entry) {
  auto upstream = std::make_shared<Upstream>();
  upstream->entry = entry;
  upstream->evacuated = evacuated_.contains(entry.zone);
  by_id_.emplace(entry.id, upstream);
  by_service_[entry.service].push_back(std::move(upstream));
}

void UpstreamTable::Put(const UpstreamEntry& entry) {
  doubted_.erase(entry.id);
  const UpstreamPtr upstream = Find(entry.id);
  if (!upstream) return Add(entry);
  const int64_t known_start = upstream->entry.started_unix_ms;
  // Guard: what an earlier start said arrives late, after its process has
  // started again. Taken as news, it would drain the process that runs now or
  // bring back an address that it has left.
  if (entry.started_unix_ms < known_start) return;
  if (entry.started_unix_ms > known_start) {
    // Guard: the process knows nothing of before. With its history kept, it
    // would stay ejected for failures of its earlier start, and its memory
    // would count as full of results that are gone.
    upstream->restarted = true;
    Drop(upstream);
    return Add(entry);
  }
  const bool leaves = entry.draining && !upstream->entry.draining;
  // Guard: a store that came back from an older copy lists it as it was before.
  upstream->entry.draining = upstream->entry.draining || entry.draining;
  upstream->entry.slots = entry.slots;
  upstream->entry.cold_left = entry.cold_left;
  upstream->lapses_at = Clock::time_point::max();
  if (leaves && on_leave_) on_leave_(upstream);
}

void UpstreamTable::PutFromCopy(const UpstreamEntry& entry,
                                Clock::time_point till) {
  const bool has_left = left_.contains({entry.id, entry.started_unix_ms});
  if (Find(entry.id) || !has_left) return Put(entry);
  doubted_.insert_or_assign(entry.id, Doubted{entry, till});
}

void UpstreamTable::NoteLeft(const UpstreamEntry& entry,
                             Clock::time_point now) {
  std::erase_if(left_, [now](const auto& left) {
    return left.second + kLeftRemembered < now;
  });
  left_[{entry.id, entry.started_unix_ms}] = now;
}

void UpstreamTable::Drop(UpstreamPtr upstream) {
  upstream->listed = false;
  auto& of_service = by_service_[upstream->entry.service];
  std::erase(of_service, upstream);
  by_id_.erase(upstream->entry.id);
  if (on_leave_) on_leave_(upstream);
}

void UpstreamTable::Remove(std::string_view id, Clock::time_point keep_till) {
  const auto doubted = doubted_.find(id);
  if (doubted != doubted_.end()) doubted_.erase(doubted);
  const UpstreamPtr upstream = Find(id);
  if (!upstream) return;
  upstream->lapses_at = std::min(upstream->lapses_at, keep_till);
}

void UpstreamTable::ReplaceAll(std::span<const UpstreamEntry> entries,
                               Clock::time_point keep_till,
                               std::optional<Clock::time_point> copy_till) {
  std::set<std::string_view> listed;
  for (const UpstreamEntry& entry : entries) {
    listed.insert(entry.id);
    // A list alone does not say that a doubted entry was written again.
    if (doubted_.contains(entry.id)) continue;
    copy_till ? PutFromCopy(entry, *copy_till) : Put(entry);
  }
  std::erase_if(doubted_, [&](const auto& doubted) {
    return !listed.contains(doubted.first);
  });
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
  for (const UpstreamPtr& u : gone) {
    NoteLeft(u->entry, now);
    Drop(u);
  }
  std::vector<UpstreamEntry> alive;
  for (const auto& [id, doubted] : doubted_) {
    if (doubted.till <= now) alive.push_back(doubted.entry);
  }
  std::ranges::for_each(alive, [this](const auto& entry) { Put(entry); });
}

void UpstreamTable::SetEvacuated(std::set<std::string, std::less<>> zones) {
  evacuated_ = std::move(zones);
  for (const auto& [id, upstream] : by_id_) {
    upstream->evacuated = evacuated_.contains(upstream->entry.zone);
  }
}

std::vector<UpstreamPtr> UpstreamTable::InZone(std::string_view zone) const {
  std::vector<UpstreamPtr> found;
  for (const auto& [id, upstream] : by_id_) {
    if (upstream->entry.zone == zone) found.push_back(upstream);
  }
  return found;
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

UpstreamPtr UpstreamTable::FindAt(const std::string& service,
                                  std::string_view address) const {
  const auto upstreams = ForService(service);
  const auto it = std::ranges::find(
      upstreams, address, [](const UpstreamPtr& u) -> std::string_view {
        return u->entry.address;
      });
  return it == upstreams.end() ? nullptr : *it;
}

}  // namespace turmeric::routing
