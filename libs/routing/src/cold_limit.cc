#include "turmeric/routing/cold_limit.h"

#include <algorithm>
#include <cmath>

#include "turmeric/routing/choice.h"

namespace turmeric::routing {

namespace {

/** Fractions of a bound by role. One owner, kMaxSuccessors new owners and all
 * uncoordinated instances together use at most the whole bound. */
constexpr double kOwnerFraction = 0.46;
constexpr double kNewOwnerFraction = 0.14;
constexpr double kUncoordinatedFraction = 0.12;

}  // namespace

std::optional<int> ArrivalBound(double per_s, const ColdTolerance& tolerance) {
  if (per_s <= 0) return std::nullopt;
  return static_cast<int>(std::floor(per_s * tolerance.over + tolerance.slack));
}

int ShareOfBound(int bound, SenderRole role) {
  const auto part = [bound](double of) { return static_cast<int>(bound * of); };
  switch (role) {
    case SenderRole::kOwner:
      return part(kOwnerFraction);
    case SenderRole::kNewOwner:
      return part(kNewOwnerFraction);
    case SenderRole::kUncoordinated:
      return part(kUncoordinatedFraction);
    default:
      return bound;
  }
}

bool IsSuccessor(std::string_view shard, std::string_view self,
                 const std::set<std::string, std::less<>>& others) {
  const uint64_t own = RendezvousWeight(shard, self);
  const auto before = std::ranges::count_if(others, [&](const auto& other) {
    return RendezvousWeight(shard, other) > own;
  });
  return before < kMaxSuccessors;
}

int InstanceShare(int share, std::string_view upstream, std::string_view self,
                  const std::set<std::string, std::less<>>& others) {
  const auto instances = static_cast<int>(others.size()) + 1;
  const int even = share / instances;
  int first_ones = share % instances;
  const uint64_t own = RendezvousWeight(upstream, self);
  for (const std::string& other : others) {
    if (first_ones == 0) break;
    if (RendezvousWeight(upstream, other) > own) --first_ones;
  }
  return even + (first_ones > 0 ? 1 : 0);
}

}  // namespace turmeric::routing
