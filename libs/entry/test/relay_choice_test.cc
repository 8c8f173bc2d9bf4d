#include "turmeric/entry/relay_choice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

using turmeric::entry::CountRelays;
using turmeric::entry::Instances;
using turmeric::entry::RelaysOfZone;
using turmeric::entry::SourcesFor;

namespace {

/** A fleet with small and large instances in each zone. */
Instances MakeFleet(int zones, int small, int large) {
  Instances fleet;
  for (int z = 0; z < zones; ++z) {
    const std::string zone = "zone-" + std::to_string(z);
    for (int i = 0; i < small + large; ++i) {
      const std::string name = zone + "-" + std::to_string(i);
      fleet[name] = {.address = "10.0.0.1:1",
                     .zone = zone,
                     .cpu_share = i < small ? 0.12 : 0.5};
    }
  }
  return fleet;
}

}  // namespace

TEST_CASE("a zone's relays are few and its largest instances first") {
  const Instances fleet = MakeFleet(5, 56, 3);
  const auto relays = RelaysOfZone(fleet, "zone-1");
  REQUIRE(relays.size() == 4);
  for (size_t i = 0; i < 3; ++i) {
    REQUIRE(fleet.at(relays[i]).cpu_share == 0.5);
  }
  REQUIRE(CountRelays(fleet) == 20);
}

TEST_CASE("a small zone has two relays, a zone of one has one") {
  REQUIRE(RelaysOfZone(MakeFleet(3, 3, 0), "zone-0").size() == 2);
  REQUIRE(RelaysOfZone(MakeFleet(1, 1, 0), "zone-0").size() == 1);
  REQUIRE(RelaysOfZone(MakeFleet(1, 3, 0), "elsewhere").empty());
}

// Guards against an unbalanced load: if all followers of a zone chose the same
// two relays, these two would send all changes, and the other relays would
// watch the store without any follower.
TEST_CASE("followers are spread over a zone's relays") {
  const Instances fleet = MakeFleet(1, 90, 6);
  const auto relays = RelaysOfZone(fleet, "zone-0");
  std::map<std::string, int> first;
  for (const auto& [name, info] : fleet) {
    const auto sources = SourcesFor(fleet, name);
    REQUIRE(std::ranges::count(sources, name) == 0);
    if (std::ranges::count(relays, name) > 0) continue;
    REQUIRE(std::ranges::count(relays, sources[0]) == 1);
    REQUIRE(std::ranges::count(relays, sources[1]) == 1);
    ++first[sources[0]];
  }
  REQUIRE(first.size() == relays.size());
  for (const auto& [name, followers] : first) REQUIRE(followers < 30);
}

// Guards against a zone that loses its path to the store while its instances
// still reach each other and other zones: relays that follow only each other
// would not receive a new configuration.
TEST_CASE("a relay's second source is in another zone") {
  const Instances fleet = MakeFleet(3, 20, 2);
  for (const std::string& relay : RelaysOfZone(fleet, "zone-0")) {
    const auto sources = SourcesFor(fleet, relay);
    REQUIRE(fleet.at(sources[0]).zone == "zone-0");
    REQUIRE(fleet.at(sources[1]).zone != "zone-0");
  }
}

TEST_CASE("a relay follows relays only") {
  const Instances fleet = MakeFleet(1, 20, 0);
  const auto relays = RelaysOfZone(fleet, "zone-0");
  REQUIRE(SourcesFor(fleet, relays[0]) == std::vector<std::string>{relays[1]});
}

TEST_CASE("an instance alone in its zone follows another zone's relays") {
  Instances fleet = MakeFleet(2, 3, 0);
  fleet["alone"] = {.address = "10.0.0.1:1", .zone = "far", .cpu_share = 0.1};
  REQUIRE(SourcesFor(fleet, "alone").size() == 4);
  REQUIRE(SourcesFor({{"only", {}}}, "only").empty());
  REQUIRE(SourcesFor(fleet, "unknown").empty());
}

// Guards against traffic across zones after all relays of a zone have lost
// power: the zone's next candidates are preferred over relays of other zones.
TEST_CASE("a zone's substitutes are preferred over distant relays") {
  const Instances fleet = MakeFleet(2, 30, 0);
  const auto sources = SourcesFor(fleet, "zone-0-7");
  const auto far = std::ranges::find_if(sources, [&](const auto& name) {
    return fleet.at(name).zone != "zone-0";
  });
  REQUIRE(far - sources.begin() >= 4);
  REQUIRE(std::set<std::string>(sources.begin(), sources.end()).size() ==
          sources.size());
}
