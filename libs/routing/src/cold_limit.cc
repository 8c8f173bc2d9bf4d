#include "turmeric/routing/cold_limit.h"

#include <algorithm>
#include <cmath>

#include "turmeric/routing/choice.h"

namespace turmeric::routing {

namespace {

/** Parts of a bound. An owner's, those of kSuccessors and that of all that
 * choose alone are no more than one together. */
constexpr double kOwnerPart = 0.46;
constexpr double kNewOwnerPart = 0.14;
constexpr double kAlonePart = 0.12;

}  // namespace

std::optional<int> ArrivalBound(double per_s, const ColdTolerance& tolerance) {
  if (per_s <= 0) return std::nullopt;
  return static_cast<int>(std::floor(per_s * tolerance.over + tolerance.slack));
}

int ShareOfBound(int bound, SendGround ground) {
  const auto part = [bound](double of) { return static_cast<int>(bound * of); };
  switch (ground) {
    case SendGround::kOwner:
      return part(kOwnerPart);
    case SendGround::kNewOwner:
      return part(kNewOwnerPart);
    case SendGround::kAlone:
      return part(kAlonePart);
    default:
      return bound;
  }
}

bool IsSuccessor(std::string_view part, std::string_view self,
                 const std::set<std::string, std::less<>>& others) {
  const uint64_t own = RendezvousWeight(part, self);
  const auto before = std::ranges::count_if(others, [&](const auto& other) {
    return RendezvousWeight(part, other) > own;
  });
  return before < kSuccessors;
}

int DealtShare(int share, std::string_view upstream, std::string_view self,
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
