#include "turmeric/quarantine/explanation.h"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <map>
#include <utility>

namespace turmeric::quarantine {

namespace {

/** A set of crashes, one bit for each. */
using CrashSet = uint64_t;

constexpr size_t kMaxCrashes = 64;

/** Crashes by their weight. */
struct WeightedCrashes {
  CrashSet early = 0;
  CrashSet any = 0;  ///< Early and late ones.

  bool operator==(const WeightedCrashes&) const = default;

  void Add(size_t crash, int weight) {
    const CrashSet bit = CrashSet{1} << crash;
    any |= bit;
    if (weight >= kEarlyCrashWeight) early |= bit;
  }
};

/** @return cost of the crashes that other causes do not explain. */
int Unexplained(const WeightedCrashes& crashes,
                const WeightedCrashes& explained) {
  const CrashSet late = crashes.any & ~crashes.early;
  return kEarlyCrashWeight * std::popcount(crashes.early & ~explained.any) +
         (kEarlyCrashWeight - kLateCrashWeight) *
             std::popcount(crashes.early & explained.any & ~explained.early) +
         kLateCrashWeight * std::popcount(late & ~explained.any);
}

/** @return the different sets of crashes that one other cause explains. A cause
 * of a single crash costs at least as much as that crash and is left out. */
std::vector<WeightedCrashes> ExplainedByOne(
    std::span<const SuspiciousCrash> crashes) {
  std::map<std::string_view, WeightedCrashes> by_cause;
  for (size_t i = 0; i < crashes.size(); ++i) {
    for (const PossibleCause& other : crashes[i].others) {
      by_cause[other.trait].Add(i, other.weight);
    }
  }
  std::vector<WeightedCrashes> sets;
  for (const auto& [trait, explained] : by_cause) {
    if (std::popcount(explained.any) > 1) sets.push_back(explained);
  }
  std::ranges::sort(sets, {}, [](const WeightedCrashes& set) {
    return std::pair(set.any, set.early);
  });
  sets.erase(std::unique(sets.begin(), sets.end()), sets.end());
  return sets;
}

}  // namespace

Explanation CheapestExplanation(std::span<const SuspiciousCrash> crashes) {
  if (crashes.size() > kMaxCrashes) crashes = crashes.last(kMaxCrashes);
  WeightedCrashes all;
  for (size_t i = 0; i < crashes.size(); ++i) all.Add(i, crashes[i].weight);
  Explanation best{.cost = Unexplained(all, {}), .blames_others = false};
  const auto consider = [&](int causes, const WeightedCrashes& explained) {
    const int cost = causes * kEarlyCrashWeight + Unexplained(all, explained);
    if (cost < best.cost) best = {.cost = cost, .blames_others = true};
  };
  const std::vector<WeightedCrashes> sets = ExplainedByOne(crashes);
  for (size_t i = 0; i < sets.size(); ++i) {
    consider(1, sets[i]);
    for (size_t k = i + 1; k < sets.size(); ++k) {
      consider(2, {.early = sets[i].early | sets[k].early,
                   .any = sets[i].any | sets[k].any});
    }
  }
  return best;
}

}  // namespace turmeric::quarantine
