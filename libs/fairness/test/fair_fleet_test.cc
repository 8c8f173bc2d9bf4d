#include "fair_fleet.h"

#include <catch2/catch.hpp>

namespace turmeric::fairness::test {
namespace {

constexpr double kMinServedTogether = 0.95;
constexpr double kMinServedEach = 0.9;
constexpr double kMinPerSecond = 100;

void CheckLimits(const FairRun& run) {
  const FairResult result = FairFleet(run).Run();
  INFO("seed " << run.seed << ", served together " << result.small().ratio()
               << ", worst " << result.worst() << ", per second "
               << result.per_s);
  CHECK(result.small().ratio() >= kMinServedTogether);
  CHECK(result.worst() >= kMinServedEach);
  CHECK(result.per_s >= kMinPerSecond);
}

uint32_t Seed() { return GENERATE(range(1U, 9U)); }

// Guards against a simulation whose load the fleet would handle without shares.
TEST_CASE("a large organisation takes the capacity of others without shares") {
  const FairResult result = FairFleet({.fair = false}).Run();
  CHECK(result.small().ratio() < 0.7);
}

// Guards against small organisations that are refused or late in competition.
TEST_CASE("small organisations are served beside a large one") {
  CheckLimits({.seed = Seed(), .one_instance = GENERATE(false, true)});
}

// Guards against plans that end with the reports of one instance.
TEST_CASE("shares hold when an instance is killed") {
  CheckLimits({.seed = Seed(), .killed = GENERATE(1, 4)});
}

// Guards against an overload that returns until another coordinator has a plan.
TEST_CASE("shares hold when the coordinator is killed") {
  CheckLimits({.seed = Seed(),
               .one_instance = GENERATE(false, true),
               .killed = FairRun::kCoordinator});
}

// Guards against an overload while two coordinators each see a part.
TEST_CASE("shares hold when the coordinator is cut off") {
  CheckLimits({.seed = Seed(), .cut_off = FairRun::kCoordinator});
}

TEST_CASE("shares hold while a third of the messages is lost") {
  CheckLimits({.seed = Seed(), .lost = 1.0 / 3});
}

TEST_CASE("shares hold while messages are late") {
  CheckLimits(
      {.seed = Seed(), .message_delay = std::chrono::milliseconds(150)});
}

// Guards against instances that rely on the limits of all others.
TEST_CASE("small organisations gain beside an instance without shares") {
  const uint32_t seed = Seed();
  const auto without = FairFleet({.seed = seed, .fair = false}).Run();
  const auto with = FairFleet({.seed = seed, .older_instances = 1}).Run();
  CHECK(with.small().ratio() > without.small().ratio() + 0.15);
}

}  // namespace
}  // namespace turmeric::fairness::test
