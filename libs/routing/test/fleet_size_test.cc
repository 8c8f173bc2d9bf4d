#include "turmeric/routing/fleet_size.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::routing::Clock;
using turmeric::routing::FleetSize;

namespace {

const Clock::time_point kNow = Clock::time_point(100s);

/** Reads the list every ten seconds, as an instance that stands in it does. */
Clock::time_point ReadTill(FleetSize& fleet, int instances,
                           Clock::time_point from, Clock::time_point till) {
  auto at = from;
  for (; at <= till; at += 10s) {
    fleet.NoteList({.instances = instances, .lists_this_one = true}, at);
  }
  return at - 10s;
}

}  // namespace

// Guards against an instance that starts and takes itself for the only one.
TEST_CASE("no part is taken before the list is read") {
  const FleetSize fleet;
  REQUIRE(fleet.listed() == 0);
  REQUIRE_FALSE(fleet.Parts(kNow).has_value());
}

// Guards against a part taken while others still divide by a fleet without
// this instance.
TEST_CASE("an instance that joins takes its part once all others know it") {
  FleetSize fleet;
  fleet.NoteList({.instances = 8, .lists_this_one = false}, kNow);
  REQUIRE(fleet.listed() == 8);
  const auto last = ReadTill(fleet, 8, kNow + 10s, kNow + 40s);
  REQUIRE_FALSE(
      fleet.Parts(kNow + 10s + FleetSize::kKnownToAll - 1ms).has_value());
  REQUIRE(fleet.Parts(kNow + 10s + FleetSize::kKnownToAll) == 8);
  REQUIRE(last < kNow + 10s + FleetSize::kKnownToAll + FleetSize::kListHolds);
}

// Guards against instances that join while this one cannot read the list.
TEST_CASE("an instance that is cut off from the list gives its part up") {
  FleetSize fleet;
  const auto last = ReadTill(fleet, 7, kNow, kNow + 60s);
  REQUIRE(fleet.Parts(last + FleetSize::kListHolds) == 7);
  REQUIRE_FALSE(fleet.Parts(last + FleetSize::kListHolds + 1ms).has_value());
}

// Guards against a list that lacks entries for a moment, as one of a store that
// came back from an older copy does.
TEST_CASE("the largest list of late counts") {
  FleetSize fleet;
  const auto last = ReadTill(fleet, 7, kNow, kNow + 60s);
  fleet.NoteList({.instances = 2, .lists_this_one = true}, last + 1s);
  REQUIRE(fleet.Parts(last + 1s) == 7);
}

TEST_CASE("the first start of a whole fleet waits for all lists only") {
  FleetSize fleet(true);
  fleet.NoteList({.instances = 7, .lists_this_one = true}, kNow);
  REQUIRE_FALSE(fleet.Parts(kNow + FleetSize::kListSettles - 1ms).has_value());
  REQUIRE(fleet.Parts(kNow + FleetSize::kListSettles) == 7);
}

TEST_CASE("an instance without a fleet has the whole bound") {
  FleetSize fleet;
  fleet.SetAlone();
  REQUIRE(fleet.Parts(kNow) == 1);
}

// Guards against a list of a few entries, read while the fleet enters itself.
TEST_CASE("a list that is being written is not taken for the fleet") {
  FleetSize fleet;
  fleet.NoteList({.instances = 1, .lists_this_one = false}, kNow);
  REQUIRE_FALSE(fleet.Settled(kNow).has_value());
  fleet.NoteList({.instances = 100, .lists_this_one = true}, kNow + 6s);
  REQUIRE_FALSE(
      fleet.Settled(kNow + FleetSize::kListSettles - 1ms).has_value());
  REQUIRE(fleet.Settled(kNow + FleetSize::kListSettles) == 100);
}
