#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "turmeric/routing/upstream.h"

namespace turmeric::routing {

/**
 * The availability zones whose upstreams are to get nothing new. Time is passed
 * in.
 */
class EvacuatedZones {
 public:
  /** @param zone is evacuated from now on. */
  void Begin(std::string_view zone);
  /** @param zone is to be used again. @param at from when on: later than now if
   * it is not certain that its evacuation was taken back. */
  void End(std::string_view zone, Clock::time_point at);
  /** @param now the time. @return the zones evacuated. */
  std::set<std::string, std::less<>> Zones(Clock::time_point now) const;

 private:
  /** When each evacuation ends; `max()` as long as it stands. */
  std::map<std::string, Clock::time_point, std::less<>> ends_;
};

}  // namespace turmeric::routing
