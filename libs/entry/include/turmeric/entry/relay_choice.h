#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "turmeric/entry/instance_info.h"

namespace turmeric::entry {

/**
 * Which instances follow the platform's store for the others of a zone: the
 * largest, in an order that every instance finds by itself. No lease and no
 * vote; where views of the fleet differ, a few more follow the store.
 * @param instances the fleet. @param zone an availability zone.
 * @return the zone's relays, at least two of it if there are as many.
 */
std::vector<std::string> RelaysOfZone(const Instances& instances,
                                      std::string_view zone);

/**
 * @param instances the fleet.
 * @return how many instances follow the store by this rule, over all zones.
 */
int CountRelays(const Instances& instances);

/**
 * Whom an instance asks for the store's changes: relays of its zone first,
 * each instance in an order of its own so that relays share the work; then
 * those that would be relays if the first were gone, then other zones'. A
 * relay asks relays only, the second in another zone, so that what one zone's
 * relays cannot read reaches them from there.
 * @param instances the fleet. @param self our name, one of them.
 * @return names in the order of preference; empty if there is nobody else.
 */
std::vector<std::string> SourcesFor(const Instances& instances,
                                    const std::string& self);

}  // namespace turmeric::entry
