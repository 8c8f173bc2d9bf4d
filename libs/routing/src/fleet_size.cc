#include "turmeric/routing/fleet_size.h"

#include <algorithm>

namespace turmeric::routing {

void FleetSize::NoteList(FleetList list, Clock::time_point now) {
  if (!first_read_) first_read_ = now;
  if (list.self_listed && !listed_since_) listed_since_ = now;
  reads_.push_back({now, list.instances});
  while (reads_.front().at + kListValidity < now) reads_.pop_front();
}

std::optional<int> FleetSize::Divisor(Clock::time_point now) const {
  if (single_instance_) return 1;
  const auto wait = first_start_ ? kListSettleTime : kJoinVisibleAfter;
  if (!listed_since_ || now < *listed_since_ + wait) return std::nullopt;
  if (reads_.back().at + kListValidity < now) return std::nullopt;
  return SettledSize(now);
}

std::optional<int> FleetSize::SettledSize(Clock::time_point now) const {
  if (!first_read_ || now < *first_read_ + kListSettleTime) return std::nullopt;
  // Instances that are no longer listed may still act on an earlier list.
  return std::max(1, largest_listed());
}

int FleetSize::largest_listed() const {
  if (single_instance_) return 1;
  if (reads_.empty()) return 0;
  return std::ranges::max(reads_, {}, &Read::instances).instances;
}

int FleetSize::listed() const {
  if (single_instance_) return 1;
  return reads_.empty() ? 0 : reads_.back().instances;
}

}  // namespace turmeric::routing
