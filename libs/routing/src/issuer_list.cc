#include "turmeric/routing/issuer_list.h"

#include <algorithm>

#include "turmeric/routing/choice.h"
#include "turmeric/routing/fleet_size.h"

namespace turmeric::routing {

void IssuerList::OnList(std::span<const std::string> names, bool self_listed,
                        Clock::time_point now) {
  if (!last_read_) listed_before_start_ = self_listed;
  last_read_ = now;
  ranked_.clear();
  if (self_listed && !self_listed_since_) self_listed_since_ = now;
  for (const std::string& name : names) {
    if (name != self_) last_listed_[name] = now;
  }
  // An instance that is no longer listed may still act on an earlier list.
  std::erase_if(last_listed_, [now](const auto& entry) {
    return entry.second + FleetSize::kListValidity < now;
  });
}

bool IssuerList::IsKnownByAll() const {
  if (!self_listed_since_ || last_listed_.empty()) return false;
  return std::ranges::all_of(last_listed_, [this](const auto& entry) {
    return known_by_.contains(entry.first);
  });
}

bool IssuerList::MayAct(Clock::time_point now) const {
  if (single_instance_) return true;
  if (!self_listed_since_) return false;
  if (*last_read_ + FleetSize::kListValidity < now) return false;
  if (listed_before_start_) return true;
  // A list that was read while the fleet starts may be incomplete.
  const auto wait = first_start_ || IsKnownByAll()
                        ? FleetSize::kListSettleTime
                        : FleetSize::kJoinVisibleAfter;
  return now >= *self_listed_since_ + wait;
}

std::span<const std::string> IssuerList::Of(const std::string& service) const {
  const auto [it, is_new] = ranked_.try_emplace(service);
  if (is_new) it->second = Rank(service);
  return it->second;
}

std::vector<std::string> IssuerList::Rank(std::string_view service) const {
  std::vector<std::pair<uint64_t, std::string>> ranked;
  ranked.emplace_back(RendezvousWeight(service, self_), self_);
  for (const auto& [name, at] : last_listed_) {
    ranked.emplace_back(RendezvousWeight(service, name), name);
  }
  const size_t count =
      std::min(ranked.size(), static_cast<size_t>(kMaxIssuers));
  std::ranges::partial_sort(ranked,
                            ranked.begin() + static_cast<std::ptrdiff_t>(count),
                            std::ranges::greater());
  std::vector<std::string> issuers;
  for (size_t i = 0; i < count; ++i) issuers.push_back(ranked[i].second);
  return issuers;
}

std::optional<int> IssuerList::OwnRank(const std::string& service,
                                       Clock::time_point now) const {
  return MayAct(now) ? FutureRank(service) : std::nullopt;
}

std::optional<int> IssuerList::FutureRank(const std::string& service) const {
  const auto issuers = Of(service);
  const auto own = std::ranges::find(issuers, self_);
  if (own == issuers.end()) return std::nullopt;
  return static_cast<int>(own - issuers.begin());
}

}  // namespace turmeric::routing
