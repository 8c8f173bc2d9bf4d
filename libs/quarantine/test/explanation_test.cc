#include "turmeric/quarantine/explanation.h"

#include <catch2/catch.hpp>
#include <vector>

using turmeric::quarantine::CheapestExplanation;
using turmeric::quarantine::Explanation;
using turmeric::quarantine::kEarlyCrashWeight;
using turmeric::quarantine::kLateCrashWeight;
using turmeric::quarantine::SuspiciousCrash;

namespace {

SuspiciousCrash Early(const std::vector<std::string_view>& others,
                      int weight_of_others = kEarlyCrashWeight) {
  SuspiciousCrash crash{.weight = kEarlyCrashWeight, .others = {}};
  for (const std::string_view trait : others) {
    crash.others.push_back({.trait = trait, .weight = weight_of_others});
  }
  return crash;
}

int CostOf(const std::vector<SuspiciousCrash>& crashes) {
  return CheapestExplanation(crashes).cost;
}

}  // namespace

TEST_CASE("crashes without a cause in common cost their weight") {
  REQUIRE(CostOf({}) == 0);
  REQUIRE(CostOf({Early({}), Early({"a"}), Early({"b"})}) == 6);
  REQUIRE(CostOf({{.weight = kLateCrashWeight, .others = {}}}) == 1);
}

// Guards against blaming a request whose crashes another one explains.
TEST_CASE("causes in common cost as much as one crash each, two at most") {
  REQUIRE(CostOf({Early({"a"}), Early({"a"}), Early({"a", "b"})}) == 2);
  REQUIRE(CostOf({Early({"a"}), Early({"b"}), Early({"a"}), Early({"b"})}) ==
          4);
  const std::vector<SuspiciousCrash> three = {Early({"a"}), Early({"a"}),
                                              Early({"b"}), Early({"b"}),
                                              Early({"c"}), Early({"c"})};
  REQUIRE(CostOf(three) == 8);
  REQUIRE(CheapestExplanation(three).blames_others);
  REQUIRE_FALSE(CheapestExplanation(std::vector{Early({"a"})}).blames_others);
}

// Guards against a harmful request that long streams on its upstreams excuse.
TEST_CASE("a cause that had run for a while explains half of a crash") {
  const SuspiciousCrash crash = Early({"a"}, kLateCrashWeight);
  REQUIRE(CostOf({crash, crash, crash}) == 5);
  REQUIRE(CostOf({crash, crash, crash, crash}) == 6);
  const SuspiciousCrash late{.weight = kLateCrashWeight,
                             .others = {{.trait = "a", .weight = 1}}};
  REQUIRE(CostOf({late, late, late, late}) == 2);
}

TEST_CASE("of many crashes the last ones count") {
  std::vector<SuspiciousCrash> crashes(100, Early({}));
  REQUIRE(CostOf(crashes) == 64 * kEarlyCrashWeight);
  for (SuspiciousCrash& crash : crashes) crash = Early({"a"});
  REQUIRE(CostOf(crashes) == kEarlyCrashWeight);
}
