#include "turmeric/routing/issuer_list.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "turmeric/routing/fleet_size.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::routing::Clock;
using turmeric::routing::FleetSize;
using turmeric::routing::IssuerList;

namespace {

constexpr Clock::time_point kStart{1h};

std::vector<std::string> Names(int count) {
  std::vector<std::string> names;
  for (int i = 0; i < count; ++i) names.push_back("entry-" + std::to_string(i));
  return names;
}

}  // namespace

TEST_CASE("all instances find the same issuers of a service") {
  for (const int size : {1, 3, 8, 300}) {
    const auto names = Names(size);
    int acting = 0;
    std::set<std::string> found;
    for (const std::string& name : names) {
      IssuerList issuers(name, false);
      issuers.OnList(names, true, kStart);
      const auto of = issuers.Of("app");
      REQUIRE(of.size() ==
              static_cast<size_t>(std::min(size, IssuerList::kMaxIssuers)));
      found.insert(of.front());
      if (issuers.OwnRank("app", kStart)) ++acting;
    }
    REQUIRE(found.size() == 1);
    REQUIRE(acting == std::min(size, IssuerList::kMaxIssuers));
  }
}

// Guards against an instance that issues permits while others that rank after
// it do not know it yet.
TEST_CASE("an instance that joins acts once the others know it") {
  IssuerList issuers("entry-0", false);
  issuers.OnList(Names(3), false, kStart);
  issuers.OnList(Names(3), true, kStart + 1s);
  REQUIRE_FALSE(issuers.OwnRank("app", kStart + 2s));
  const auto known_at = kStart + 1s + FleetSize::kJoinVisibleAfter;
  issuers.OnList(Names(3), true, known_at);
  REQUIRE(issuers.OwnRank("app", known_at));
}

TEST_CASE("an instance that restarts acts at once") {
  IssuerList issuers("entry-0", false);
  REQUIRE_FALSE(issuers.OwnRank("app", kStart));
  issuers.OnList(Names(3), true, kStart);
  REQUIRE(issuers.OwnRank("app", kStart));
}

// Guards against instances of a starting fleet that each take themselves for an
// issuer, by a list that is not complete.
TEST_CASE("in a first start, instances act once the list is complete") {
  IssuerList issuers("entry-0", true);
  issuers.OnList(Names(1), false, kStart);
  issuers.OnList(Names(1), true, kStart + 1s);
  REQUIRE_FALSE(issuers.OwnRank("app", kStart + 2s));
  issuers.OnList(Names(8), true, kStart + 5s);
  REQUIRE(issuers.OwnRank("app", kStart + 10s).has_value() ==
          (std::ranges::count(issuers.Of("app"), "entry-0") > 0));
}

TEST_CASE("an instance without a recent list does not act") {
  IssuerList issuers("entry-0", false);
  issuers.OnList(Names(3), true, kStart);
  REQUIRE(issuers.OwnRank("app", kStart + FleetSize::kListValidity));
  REQUIRE_FALSE(
      issuers.OwnRank("app", kStart + FleetSize::kListValidity + 1ms));
}

TEST_CASE("an instance that has left the list is replaced after a while") {
  IssuerList issuers("entry-0", false);
  issuers.OnList(Names(300), true, kStart);
  const auto before = issuers.fleet_size();
  issuers.OnList(Names(2), true, kStart + 5s);
  REQUIRE(issuers.fleet_size() == before);
  issuers.OnList(Names(2), true, kStart + FleetSize::kListValidity + 1s);
  REQUIRE(issuers.fleet_size() == 2);
}

TEST_CASE("a single instance issues all permits") {
  IssuerList issuers("entry-0", false);
  issuers.SetSingleInstance();
  REQUIRE(issuers.OwnRank("app", kStart) == 0);
}
