#include "turmeric/connections/connection_shares.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

namespace turmeric::connections {
namespace {

int SumOfParts(int max_connections, const Fleet& fleet) {
  int sum = (fleet.instances - fleet.older) *
                OwnShare(max_connections, fleet.instances) +
            fleet.older * EvenShare(max_connections, fleet);
  for (int rank = 0; rank < fleet.lenders; ++rank) {
    sum += LenderPart(max_connections, fleet, rank);
  }
  return sum;
}

TEST_CASE("an unlimited upstream has no shares") {
  CHECK(OwnShare(0, 7) == 0);
  CHECK(LenderPart(0, {7, 5}, 0) == 0);
}

TEST_CASE("one connection is used while the fleet size is unknown") {
  CHECK(OwnShare(100, 0) == 1);
}

TEST_CASE("a single instance uses all connections") {
  CHECK(OwnShare(100, 1) == 100);
  CHECK(LenderPart(100, {1, 1}, 0) == 0);
}

TEST_CASE("an instance that is no lender lends nothing") {
  CHECK(LenderPart(600, {90, 5}, -1) == 0);
  CHECK(LenderPart(600, {90, 5}, 5) == 0);
}

TEST_CASE("the shares of all instances leave one in 16 connections free") {
  CHECK(rc::check("if there are as many connections as instances", [] {
    const int instances = *rc::gen::inRange(2, 400);
    const int max_connections = *rc::gen::inRange(instances, 2000);
    const int lenders = *rc::gen::inRange(1, 6);
    RC_ASSERT(SumOfParts(max_connections, {instances, lenders}) ==
              std::max(max_connections - max_connections / 16,
                       instances * OwnShare(max_connections, instances)));
  }));
}

// Guards against more connections than an upstream accepts while instances of
// two releases run.
TEST_CASE("the shares leave room for instances that take an even share") {
  CHECK(rc::check("if there are as many connections as instances", [] {
    const int instances = *rc::gen::inRange(2, 400);
    const int max_connections = *rc::gen::inRange(instances, 2000);
    const int older = *rc::gen::inRange(0, instances + 1);
    RC_ASSERT(SumOfParts(max_connections, {.instances = instances,
                                           .lenders = 5,
                                           .older = older}) <= max_connections);
  }));
}

}  // namespace
}  // namespace turmeric::connections
