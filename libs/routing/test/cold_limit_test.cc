#include "turmeric/routing/cold_limit.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "turmeric/routing/recent_sends.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::routing::ArrivalBound;
using turmeric::routing::Clock;
using turmeric::routing::InstanceShare;
using turmeric::routing::kMaxSuccessors;
using turmeric::routing::RecentSends;
using turmeric::routing::SenderRole;
using turmeric::routing::ShareOfBound;

namespace {

std::set<std::string, std::less<>> Others(int count, int self) {
  std::set<std::string, std::less<>> names;
  for (int i = 0; i < count; ++i) {
    if (i != self) names.insert("entry-" + std::to_string(i));
  }
  return names;
}

}  // namespace

TEST_CASE("the bound is the stated rate with its tolerance, rounded down") {
  REQUIRE(ArrivalBound(8.4, {.over = 1.5, .slack = 5}) == 17);
  REQUIRE(ArrivalBound(1, {.over = 1, .slack = 0}) == 1);
  REQUIRE_FALSE(ArrivalBound(0, {.over = 1.5, .slack = 5}));
}

// Guards against an owner, its successors and uncoordinated instances together
// sending more than the bound of a cold upstream.
TEST_CASE("the shares of all roles together stay within the bound") {
  for (int bound = 1; bound < 200; ++bound) {
    REQUIRE(ShareOfBound(bound, SenderRole::kOwner) +
                kMaxSuccessors * ShareOfBound(bound, SenderRole::kNewOwner) +
                ShareOfBound(bound, SenderRole::kUncoordinated) <=
            bound);
  }
}

TEST_CASE("the instances' parts of a share add up to the share") {
  for (const int instances : {1, 2, 6, 73, 300}) {
    for (const int share : {0, 1, 2, 17, 40}) {
      int dealt = 0;
      for (int i = 0; i < instances; ++i) {
        dealt += InstanceShare(share, "i-1", "entry-" + std::to_string(i),
                               Others(instances, i));
      }
      CAPTURE(instances, share);
      REQUIRE(dealt == share);
    }
  }
}

TEST_CASE("sends count until their window has elapsed") {
  RecentSends sends;
  const Clock::time_point now(1h);
  sends.Note(now);
  sends.Note(now + 500ms);
  REQUIRE(sends.Count(now + 500ms) == 2);
  REQUIRE(sends.Count(now + 1100ms) == 1);
  REQUIRE(sends.Count(now + 1600ms) == 0);
}
