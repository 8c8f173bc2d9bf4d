#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "turmeric/routing/upstream.h"

namespace turmeric::routing {

/**
 * The availability zones whose upstreams receive no new work. The caller passes
 * in the time.
 */
class EvacuatedZones {
 public:
  /** Starts an evacuation. @param zone an availability zone. */
  void Begin(std::string_view zone);
  /** Ends an evacuation. @param zone an availability zone. @param at time from
   * which the zone may be used again: later than now if it is uncertain whether
   * the evacuation was revoked. */
  void End(std::string_view zone, Clock::time_point at);
  /** @param now current time. @return the evacuated zones. */
  std::set<std::string, std::less<>> Zones(Clock::time_point now) const;

 private:
  /** When each zone may be used again; `max()` until End() sets the time. */
  std::map<std::string, Clock::time_point, std::less<>> ends_;
};

}  // namespace turmeric::routing
