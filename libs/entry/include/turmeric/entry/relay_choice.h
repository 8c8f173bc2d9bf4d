#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "turmeric/entry/instance_info.h"

namespace turmeric::entry {

/**
 * Selects the relays of a zone, the instances that follow the platform's store
 * for the others: those with the largest CPU share, in an order that every
 * instance computes locally. There is no lease and no vote; while views of the
 * fleet differ, a few more instances follow the store.
 * @param instances the fleet.
 * @param zone an availability zone.
 * @return the zone's relays; at least two if the zone has as many instances.
 */
std::vector<std::string> RelaysOfZone(const Instances& instances,
                                      std::string_view zone);

/**
 * @param instances the fleet.
 * @return number of relays over all zones.
 */
int CountRelays(const Instances& instances);

/**
 * Orders the instances from which one instance may receive the store's changes.
 * A follower prefers the relays of its zone, in an order of its own so that
 * relays share the load; then its zone's next candidates for relay; then the
 * relays of other zones. A relay follows relays only, the second one in another
 * zone, so that it receives changes from there when its own zone cannot reach
 * the store.
 * @param instances the fleet.
 * @param self name of this instance.
 * @return names in order of preference; empty if there is no other instance or
 *     `self` is not listed.
 */
std::vector<std::string> SourcesFor(const Instances& instances,
                                    const std::string& self);

}  // namespace turmeric::entry
