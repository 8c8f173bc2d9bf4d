#include "turmeric/routing/evacuated_zones.h"

namespace turmeric::routing {

void EvacuatedZones::Begin(std::string_view zone) {
  ends_.insert_or_assign(std::string(zone), Clock::time_point::max());
}

void EvacuatedZones::End(std::string_view zone, Clock::time_point at) {
  const auto it = ends_.find(zone);
  if (it != ends_.end()) it->second = at;
}

std::set<std::string, std::less<>> EvacuatedZones::Zones(
    Clock::time_point now) const {
  std::set<std::string, std::less<>> zones;
  for (const auto& [zone, end] : ends_) {
    if (now < end) zones.insert(zone);
  }
  return zones;
}

}  // namespace turmeric::routing
