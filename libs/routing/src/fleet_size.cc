#include "turmeric/routing/fleet_size.h"

#include <algorithm>

namespace turmeric::routing {

void FleetSize::NoteList(FleetList list, Clock::time_point now) {
  if (!first_read_) first_read_ = now;
  if (list.lists_this_one && !listed_since_) listed_since_ = now;
  reads_.push_back({now, list.instances});
  while (reads_.front().at + kListHolds < now) reads_.pop_front();
}

std::optional<int> FleetSize::Parts(Clock::time_point now) const {
  if (alone_) return 1;
  const auto wait = first_start_ ? kListSettles : kKnownToAll;
  if (!listed_since_ || now < *listed_since_ + wait) return std::nullopt;
  if (reads_.back().at + kListHolds < now) return std::nullopt;
  return Settled(now);
}

std::optional<int> FleetSize::Settled(Clock::time_point now) const {
  if (!first_read_ || now < *first_read_ + kListSettles) return std::nullopt;
  // Instances that have left the list may still act on an earlier one.
  return std::max(1, std::ranges::max(reads_, {}, &Read::instances).instances);
}

int FleetSize::listed() const {
  if (alone_) return 1;
  return reads_.empty() ? 0 : reads_.back().instances;
}

}  // namespace turmeric::routing
