#include "turmeric/routing/evacuated_zones.h"

#include <catch2/catch.hpp>

#include "turmeric/routing/upstream_table.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::routing::Clock;
using turmeric::routing::EvacuatedZones;
using turmeric::routing::IsListed;
using turmeric::routing::UpstreamTable;

namespace {

const Clock::time_point kNow(1h);

}  // namespace

TEST_CASE("an evacuation is in force until the end time that was set") {
  EvacuatedZones zones;
  zones.Begin("zone-a");
  zones.Begin("zone-b");
  REQUIRE(zones.Zones(kNow + 24h).size() == 2);
  zones.End("zone-a", kNow);
  zones.End("zone-b", kNow + 5s);
  zones.End("zone-c", kNow);
  REQUIRE(zones.Zones(kNow).size() == 1);
  REQUIRE(zones.Zones(kNow + 5s).empty());
  zones.Begin("zone-a");
  REQUIRE(zones.Zones(kNow + 24h).contains("zone-a"));
}

// Guards against sending new work to an upstream whose entry is added while its
// zone is evacuated.
TEST_CASE("present and new upstreams of an evacuated zone get no new work") {
  UpstreamTable table;
  table.Put({.id = "i-1", .service = "app", .address = "a", .zone = "zone-a"});
  table.SetEvacuated({"zone-a"});
  table.Put({.id = "i-2", .service = "app", .address = "b", .zone = "zone-a"});
  table.Put({.id = "i-3", .service = "app", .address = "c", .zone = "zone-b"});
  REQUIRE_FALSE(IsListed(*table.Find("i-1"), kNow));
  REQUIRE_FALSE(IsListed(*table.Find("i-2"), kNow));
  REQUIRE(IsListed(*table.Find("i-3"), kNow));
  table.SetEvacuated({});
  REQUIRE(IsListed(*table.Find("i-1"), kNow));
}
