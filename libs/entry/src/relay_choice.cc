#include "turmeric/entry/relay_choice.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "turmeric/routing/choice.h"

namespace turmeric::entry {

namespace {

/** Instances of a zone that one relay serves; each is served by two. */
constexpr size_t kInstancesPerRelay = 16;
/** Relays of a zone, so that the loss of one is no gap. */
constexpr size_t kLeastRelays = 2;
/** Instances beyond the relays that are asked in their place, at most. */
constexpr size_t kSubstitutes = 4;
constexpr std::string_view kRelayKey = "store relay";

/** @return a zone's instances, the first to be relays first. */
std::vector<std::string> RankedInZone(const Instances& instances,
                                      std::string_view zone) {
  std::vector<std::tuple<double, uint64_t, std::string>> ranked;
  for (const auto& [name, info] : instances) {
    if (info.zone != zone) continue;
    ranked.emplace_back(info.cpu_share,
                        routing::RendezvousWeight(kRelayKey, name), name);
  }
  std::ranges::sort(ranked, std::ranges::greater());
  std::vector<std::string> names;
  for (auto& entry : ranked) names.push_back(std::move(std::get<2>(entry)));
  return names;
}

size_t RelayCount(size_t instances) {
  const size_t wanted =
      (instances + kInstancesPerRelay - 1) / kInstancesPerRelay;
  return std::min(instances, std::max(kLeastRelays, wanted));
}

std::set<std::string> ZonesOf(const Instances& instances) {
  std::set<std::string> zones;
  for (const auto& [name, info] : instances) zones.insert(info.zone);
  return zones;
}

/** Orders names by what they weigh for one instance. */
void ShuffleFor(const std::string& self, std::vector<std::string>& names) {
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
  const size_t reach = std::min(ranked.size(), count + kSubstitutes);
  std::vector<std::string> near(
      ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count));
  std::vector<std::string> substitutes(
      ranked.begin() + static_cast<std::ptrdiff_t>(count),
      ranked.begin() + static_cast<std::ptrdiff_t>(reach));
  std::vector<std::string> far;
  for (const std::string& other : ZonesOf(instances)) {
    if (other == zone) continue;
    std::ranges::move(RelaysOfZone(instances, other), std::back_inserter(far));
  }
  const bool is_relay = std::ranges::count(near, self) > 0;
  std::erase(near, self);
  std::erase(substitutes, self);
  ShuffleFor(self, near);
  ShuffleFor(self, far);
  std::vector<std::string> order = std::move(near);
  if (is_relay) {
    // One source in the own zone, the next elsewhere. A relay asks no
    // substitutes: it follows the store, and they would have to for its sake.
    const auto second = order.begin() + (order.empty() ? 0 : 1);
    order.insert(second, far.begin(), far.end());
    return order;
  }
  std::ranges::move(substitutes, std::back_inserter(order));
  std::ranges::move(far, std::back_inserter(order));
  return order;
}

}  // namespace turmeric::entry
