#include "turmeric/routing/fleet_size.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::routing::Clock;
using turmeric::routing::FleetSize;

namespace {

const Clock::time_point kNow = Clock::time_point(100s);

/** Records a read of the list every 10 s, by an instance that is listed.
 * @return time of the last read. */
Clock::time_point ReadListUntil(FleetSize& fleet, int instances,
                                Clock::time_point from,
                                Clock::time_point until) {
  auto at = from;
  for (; at <= until; at += 10s) {
    fleet.NoteList({.instances = instances, .self_listed = true}, at);
  }
  return at - 10s;
}

}  // namespace

// Guards against an instance that treats itself as the only one after its
// start.
TEST_CASE("no part is taken before the list is read") {
  const FleetSize fleet;
  REQUIRE(fleet.listed() == 0);
  REQUIRE_FALSE(fleet.Divisor(kNow).has_value());
}

// Guards against a part that is taken while other instances still divide by a
// fleet size without this instance.
TEST_CASE(
    "an instance that joins takes its part once all others have read it") {
  FleetSize fleet;
  fleet.NoteList({.instances = 8, .self_listed = false}, kNow);
  REQUIRE(fleet.listed() == 8);
  const auto last = ReadListUntil(fleet, 8, kNow + 10s, kNow + 40s);
  REQUIRE_FALSE(fleet.Divisor(kNow + 10s + FleetSize::kJoinVisibleAfter - 1ms)
                    .has_value());
  REQUIRE(fleet.Divisor(kNow + 10s + FleetSize::kJoinVisibleAfter) == 8);
  REQUIRE(last <
          kNow + 10s + FleetSize::kJoinVisibleAfter + FleetSize::kListValidity);
}

// Guards against exceeding the fleet's bound when new instances are listed
// while this instance cannot read the list.
TEST_CASE("an instance that cannot read the list takes no part") {
  FleetSize fleet;
  const auto last = ReadListUntil(fleet, 7, kNow, kNow + 60s);
  REQUIRE(fleet.Divisor(last + FleetSize::kListValidity) == 7);
  REQUIRE_FALSE(
      fleet.Divisor(last + FleetSize::kListValidity + 1ms).has_value());
}

// Guards against a list in which entries are missing for a short time, as after
// a store was restored from an older copy.
TEST_CASE("the largest list within its validity counts") {
  FleetSize fleet;
  const auto last = ReadListUntil(fleet, 7, kNow, kNow + 60s);
  fleet.NoteList({.instances = 2, .self_listed = true}, last + 1s);
  REQUIRE(fleet.Divisor(last + 1s) == 7);
}

TEST_CASE("the first start of a whole fleet waits only for the settle time") {
  FleetSize fleet(true);
  fleet.NoteList({.instances = 7, .self_listed = true}, kNow);
  REQUIRE_FALSE(
      fleet.Divisor(kNow + FleetSize::kListSettleTime - 1ms).has_value());
  REQUIRE(fleet.Divisor(kNow + FleetSize::kListSettleTime) == 7);
}

TEST_CASE("a single instance has the whole bound") {
  FleetSize fleet;
  fleet.SetSingleInstance();
  REQUIRE(fleet.Divisor(kNow) == 1);
}

// Guards against using a list that was read while the instances of a starting
// fleet still add their entries.
TEST_CASE("a list that is still being written gives no fleet size") {
  FleetSize fleet;
  fleet.NoteList({.instances = 1, .self_listed = false}, kNow);
  REQUIRE_FALSE(fleet.SettledSize(kNow).has_value());
  fleet.NoteList({.instances = 100, .self_listed = true}, kNow + 6s);
  REQUIRE_FALSE(
      fleet.SettledSize(kNow + FleetSize::kListSettleTime - 1ms).has_value());
  REQUIRE(fleet.SettledSize(kNow + FleetSize::kListSettleTime) == 100);
}
