#include "turmeric/store/position.h"

#include <catch2/catch.hpp>

using turmeric::store::EraOf;
using turmeric::store::kMaxEra;
using turmeric::store::kMaxRevision;
using turmeric::store::MakePosition;
using turmeric::store::RevisionOf;

TEST_CASE("a position keeps its era and its revision") {
  const auto position = MakePosition(7, 123456789);
  REQUIRE(EraOf(position) == 7);
  REQUIRE(RevisionOf(position) == 123456789);
  REQUIRE(EraOf(MakePosition(kMaxEra, kMaxRevision)) == kMaxEra);
  REQUIRE(RevisionOf(MakePosition(kMaxEra, kMaxRevision)) == kMaxRevision);
}

// Guards against changes of a new era that compare as older than the state that
// they replace.
TEST_CASE("every position of a later era compares greater") {
  REQUIRE(MakePosition(2, 1) > MakePosition(1, kMaxRevision));
  REQUIRE(MakePosition(1, 2) > MakePosition(1, 1));
  REQUIRE(MakePosition(0, 5) == 5);
}
