#include "turmeric/routing/upstream_table.h"

#include <algorithm>

namespace turmeric::routing {

namespace {

/** Time for which removals of upstreams are recorded: an older copy of the
 * store is some seconds old, and does not list upstreams that were removed
 * longer ago than this. */
constexpr std::chrono::minutes kDepartureRetention{2};
/** Time for which the statements of a process without an entry are kept: longer
 * than a process goes on that leaves, and than the store is unreachable. */
constexpr std::chrono::hours kStatementRetention{1};

std::tuple<std::string, int64_t, std::string> KeyOf(
    const UpstreamEntry& entry) {
  return {entry.id, entry.started_unix_ms, entry.version};
}

}  // namespace

void UpstreamTable::Add(const UpstreamEntry& entry) {
  auto upstream = std::make_shared<Upstream>();
  upstream->entry = entry;
  upstream->evacuated = evacuated_.contains(entry.zone);
  // Guard: the entry of a process may lapse and be written again. The process
  // still leaves if it has stated so.
  if (auto dropped = dropped_.extract(KeyOf(entry))) {
    upstream->availability = std::move(dropped.mapped().availability);
  }
  by_id_.emplace(entry.id, upstream);
  by_service_[entry.service].push_back(std::move(upstream));
}

void UpstreamTable::Put(const UpstreamEntry& entry) {
  unconfirmed_.erase(entry.id);
  const UpstreamPtr upstream = Find(entry.id);
  if (!upstream) return Add(entry);
  const int64_t known_start = upstream->entry.started_unix_ms;
  // Guard: an entry of an earlier start can arrive after the process has
  // restarted. If applied, it would drain the running process or restore an
  // address that it no longer uses.
  if (entry.started_unix_ms < known_start) return;
  const bool other_process = entry.started_unix_ms > known_start ||
                             entry.version != upstream->entry.version;
  if (other_process) {
    // Guard: a restarted process has none of its earlier state. With the old
    // history, it would stay ejected for failures of its earlier start, and its
    // memory would count as full of results that are lost.
    upstream->restarted = true;
    Drop(upstream);
    return Add(entry);
  }
  const bool leaves = entry.draining && !upstream->entry.draining;
  // Guard: a store restored from an older copy may list a draining upstream as
  // not yet draining.
  upstream->entry.draining = upstream->entry.draining || entry.draining;
  upstream->entry.slots = entry.slots;
  upstream->entry.cold_left = entry.cold_left;
  upstream->expires_at = Clock::time_point::max();
  if (leaves && on_leave_) on_leave_(upstream);
}

void UpstreamTable::PutFromCopy(const UpstreamEntry& entry,
                                Clock::time_point until) {
  const bool has_left = departures_.contains({entry.id, entry.started_unix_ms});
  if (Find(entry.id) || !has_left) return Put(entry);
  unconfirmed_.insert_or_assign(entry.id, UnconfirmedEntry{entry, until});
}

void UpstreamTable::NoteDeparture(const UpstreamEntry& entry,
                                  Clock::time_point now) {
  std::erase_if(departures_, [now](const auto& departure) {
    return departure.second + kDepartureRetention < now;
  });
  departures_[{entry.id, entry.started_unix_ms}] = now;
}

void UpstreamTable::Drop(UpstreamPtr upstream) {
  upstream->listed = false;
  auto& service_upstreams = by_service_[upstream->entry.service];
  std::erase(service_upstreams, upstream);
  by_id_.erase(upstream->entry.id);
  dropped_[KeyOf(upstream->entry)] = {.availability = upstream->availability};
  if (on_leave_) on_leave_(upstream);
}

void UpstreamTable::Remove(std::string_view id, Clock::time_point keep_until) {
  const auto unconfirmed = unconfirmed_.find(id);
  if (unconfirmed != unconfirmed_.end()) unconfirmed_.erase(unconfirmed);
  const UpstreamPtr upstream = Find(id);
  if (!upstream) return;
  upstream->expires_at = std::min(upstream->expires_at, keep_until);
}

void UpstreamTable::ReplaceAll(std::span<const UpstreamEntry> entries,
                               Clock::time_point keep_until,
                               std::optional<Clock::time_point> copy_until) {
  std::set<std::string_view> listed;
  for (const UpstreamEntry& entry : entries) {
    listed.insert(entry.id);
    // The presence of an unconfirmed entry in the list does not show that the
    // entry was written again.
    if (unconfirmed_.contains(entry.id)) continue;
    copy_until ? PutFromCopy(entry, *copy_until) : Put(entry);
  }
  std::erase_if(unconfirmed_, [&](const auto& unconfirmed) {
    return !listed.contains(unconfirmed.first);
  });
  for (const auto& [id, upstream] : by_id_) {
    if (!listed.contains(id)) {
      upstream->expires_at = std::min(upstream->expires_at, keep_until);
    }
  }
}

void UpstreamTable::Expire(Clock::time_point now) {
  std::vector<UpstreamPtr> expired;
  for (const auto& [id, upstream] : by_id_) {
    if (upstream->expires_at <= now) expired.push_back(upstream);
  }
  for (const UpstreamPtr& u : expired) {
    NoteDeparture(u->entry, now);
    Drop(u);
  }
  std::vector<UpstreamEntry> confirmed;
  for (const auto& [id, unconfirmed] : unconfirmed_) {
    if (unconfirmed.until <= now) confirmed.push_back(unconfirmed.entry);
  }
  std::ranges::for_each(confirmed, [this](const auto& entry) { Put(entry); });
  ForgetDropped(now);
}

void UpstreamTable::ForgetDropped(Clock::time_point now) {
  for (auto& [key, dropped] : dropped_) {
    if (dropped.forgotten_at == Clock::time_point::max()) {
      dropped.forgotten_at = now + kStatementRetention;
    }
  }
  std::erase_if(dropped_, [now](const auto& process) {
    return process.second.forgotten_at <= now;
  });
}

void UpstreamTable::OnStatedLeaving(const Upstream& upstream) {
  const UpstreamPtr listed = Find(upstream.entry.id);
  const bool same_process =
      listed && listed->availability == upstream.availability;
  if (same_process && on_leave_) on_leave_(listed);
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

std::vector<UpstreamPtr> UpstreamTable::All() const {
  std::vector<UpstreamPtr> all;
  all.reserve(by_id_.size());
  for (const auto& [id, upstream] : by_id_) all.push_back(upstream);
  return all;
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
