#include "turmeric/entry/relay_choice.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "turmeric/routing/choice.h"

namespace turmeric::entry {

namespace {

/** Instances of a zone per relay; each instance follows two relays. */
constexpr size_t kInstancesPerRelay = 16;
/**
 * Minimum number of relays of a zone, so that changes keep arriving when one
 * fails.
 */
constexpr size_t kMinRelays = 2;
/**
 * Maximum number of instances of the zone that are followed in place of its
 * relays.
 */
constexpr size_t kMaxSubstitutes = 4;
constexpr std::string_view kRelayRankKey = "store relay";

/** @return a zone's instances, ordered by their preference as relays. */
std::vector<std::string> RankedInZone(const Instances& instances,
                                      std::string_view zone) {
  std::vector<std::tuple<double, uint64_t, std::string>> ranked;
  for (const auto& [name, info] : instances) {
    if (info.zone != zone) continue;
    ranked.emplace_back(info.cpu_share,
                        routing::RendezvousWeight(kRelayRankKey, name), name);
  }
  std::ranges::sort(ranked, std::ranges::greater());
  std::vector<std::string> names;
  for (auto& entry : ranked) names.push_back(std::move(std::get<2>(entry)));
  return names;
}

size_t RelayCount(size_t instances) {
  const size_t by_size =
      (instances + kInstancesPerRelay - 1) / kInstancesPerRelay;
  return std::min(instances, std::max(kMinRelays, by_size));
}

std::set<std::string> ZonesOf(const Instances& instances) {
  std::set<std::string> zones;
  for (const auto& [name, info] : instances) zones.insert(info.zone);
  return zones;
}

/** Orders names by their rendezvous weight for one instance. */
void OrderByWeightFor(const std::string& self,
                      std::vector<std::string>& names) {
  std::ranges::sort(names, std::ranges::greater(),
                    [&](const std::string& name) {
                      return routing::RendezvousWeight(self, name);
                    });
}

}  // namespace

std::vector<std::string> RelaysOfZone(const Instances& instances,
                                      std::string_view zone) {
  std::vector<std::string> names = RankedInZone(instances, zone);
  names.resize(RelayCount(names.size()));
  return names;
}

int CountRelays(const Instances& instances) {
  size_t count = 0;
  for (const std::string& zone : ZonesOf(instances)) {
    count += RelaysOfZone(instances, zone).size();
  }
  return static_cast<int>(count);
}

std::vector<std::string> SourcesFor(const Instances& instances,
                                    const std::string& self) {
  const auto own = instances.find(self);
  if (own == instances.end()) return {};
  const std::string& zone = own->second.zone;
  std::vector<std::string> ranked = RankedInZone(instances, zone);
  const size_t count = RelayCount(ranked.size());
  const size_t candidate_count =
      std::min(ranked.size(), count + kMaxSubstitutes);
  std::vector<std::string> zone_relays(
      ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count));
  std::vector<std::string> substitutes(
      ranked.begin() + static_cast<std::ptrdiff_t>(count),
      ranked.begin() + static_cast<std::ptrdiff_t>(candidate_count));
  std::vector<std::string> distant_relays;
  for (const std::string& other : ZonesOf(instances)) {
    if (other == zone) continue;
    std::ranges::move(RelaysOfZone(instances, other),
                      std::back_inserter(distant_relays));
  }
  const bool is_relay = std::ranges::count(zone_relays, self) > 0;
  std::erase(zone_relays, self);
  std::erase(substitutes, self);
  OrderByWeightFor(self, zone_relays);
  OrderByWeightFor(self, distant_relays);
  std::vector<std::string> order = std::move(zone_relays);
  if (is_relay) {
    // The first source is in the own zone, the second in another zone. A relay
    // follows no substitutes: it watches the store itself, and a substitute
    // with a follower would have to watch the store as well.
    const auto second = order.begin() + (order.empty() ? 0 : 1);
    order.insert(second, distant_relays.begin(), distant_relays.end());
    return order;
  }
  std::ranges::move(substitutes, std::back_inserter(order));
  std::ranges::move(distant_relays, std::back_inserter(order));
  return order;
}

}  // namespace turmeric::entry
