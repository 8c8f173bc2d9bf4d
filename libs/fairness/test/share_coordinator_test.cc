#include "turmeric/fairness/share_coordinator.h"

#include <catch2/catch.hpp>
#include <limits>
#include <string>

#include "turmeric/fairness/service_share.h"

namespace turmeric::fairness {
namespace {

using std::chrono::milliseconds;

constexpr Clock::time_point kStart;

DemandReport Report(int in_progress, const std::string& organisation,
                    double demand) {
  return {.service = "s",
          .in_progress = in_progress,
          .slots = 10,
          .served = 10'000,
          .demands = {{.organisation = organisation, .demand = demand}}};
}

// Guards against a plan by the reports of some instances only.
TEST_CASE("a new coordinator has no plan until the reports have arrived") {
  ShareCoordinator coordinator;
  coordinator.OnReport("a", Report(30, "big", 20'000), kStart);
  CHECK(coordinator.Plan(kStart + milliseconds(399)) == nullptr);
  CHECK(coordinator.Plan(kStart + ShareCoordinator::kCollection) != nullptr);
}

// Guards against a queue that grows until the whole demand is known.
TEST_CASE("the first plan limits a crowd that begins with the service") {
  constexpr double kWork = 200;
  ServiceShare share;
  ShareCoordinator coordinator;
  for (auto time = milliseconds(0); time <= milliseconds(600); ++time) {
    const auto now = kStart + time;
    if (time % milliseconds(10) == milliseconds(0)) {
      share.OnRequest("large", kWork, now);
    }
    if (time % milliseconds(200) == milliseconds(100)) {
      share.OnRequest("small", kWork, now);
    }
    if (time % ServiceShare::kReportInterval == milliseconds(0)) {
      coordinator.OnReport("a", share.MakeReport("s", 8, now), now);
    }
  }
  const SharePlan* plan = coordinator.Plan(kStart + milliseconds(600));
  REQUIRE(plan != nullptr);
  REQUIRE(plan->limited.size() == 1);
  CHECK(plan->limited[0].organisation == "large");
  // Of 100 requests a second, the slots have room for 35 beside the small ones.
  CHECK(plan->limited[0].fraction <= 0.4);
  CHECK(plan->limited[0].fraction >= 0.3);
}

// Guards against shares by the view of one instance.
TEST_CASE("demands of all instances are summed by organisation") {
  ShareCoordinator coordinator;
  coordinator.OnReport("a", Report(30, "big", 20'000), kStart);
  coordinator.OnReport("b", Report(2, "small", 1000), kStart);
  coordinator.OnReport("c", Report(2, "big", 10'000), kStart);
  const SharePlan* plan = coordinator.Plan(kStart + milliseconds(400));
  REQUIRE(plan != nullptr);
  REQUIRE(plan->limited.size() == 1);
  CHECK(plan->limited[0].organisation == "big");
  CHECK(plan->level == Approx(9000));
  CHECK(plan->limited[0].demand == Approx(30'000));
}

// Guards against the demand of an instance that was killed.
TEST_CASE("a report expires and an idle coordinator starts anew") {
  ShareCoordinator coordinator;
  coordinator.OnReport("a", Report(30, "big", 20'000), kStart);
  CHECK_FALSE(coordinator.IsIdle(kStart + milliseconds(1000)));
  CHECK(coordinator.IsIdle(kStart + milliseconds(1001)));
  const auto later = kStart + milliseconds(3000);
  coordinator.OnReport("a", Report(1, "big", 100), later);
  CHECK(coordinator.Plan(later) == nullptr);
  CHECK(coordinator.Plan(later + milliseconds(400))->limited.empty());
}

// Guards against figures of another process that end the service of all.
TEST_CASE("unsound figures in a report are clamped") {
  ShareCoordinator coordinator;
  const double infinite = std::numeric_limits<double>::infinity();
  coordinator.OnReport("a", Report(30, "big", 20'000), kStart);
  coordinator.OnReport("b", Report(-1000, "x", -5), kStart);
  coordinator.OnReport("c", Report(0, "y", infinite), kStart);
  DemandReport many = Report(0, "z", 1);
  many.slots = -7;
  many.served = -infinite;
  many.demands.resize(100'000);
  many.demands[0].organisations = std::numeric_limits<int>::max();
  coordinator.OnReport("d", many, kStart);
  const SharePlan* plan = coordinator.Plan(kStart + milliseconds(400));
  REQUIRE(plan != nullptr);
  REQUIRE(plan->limited.size() == 1);
  CHECK(plan->limited[0].organisation == "big");
  CHECK(plan->level == Approx(9999));
}

// Guards against memory for the reports of instances that do not exist.
TEST_CASE("the number of instances is bounded") {
  ShareCoordinator coordinator;
  for (size_t i = 0; i < ShareCoordinator::kMaxInstances + 10; ++i) {
    coordinator.OnReport(std::to_string(i), Report(1, "a", 1), kStart);
  }
  CHECK(coordinator.Plan(kStart + milliseconds(400))->limited.empty());
}

// Guards against limits that stay once the demand has fallen.
TEST_CASE("the capacity grows until nobody is limited") {
  ShareCoordinator coordinator;
  Clock::time_point now = kStart;
  const auto run = [&](int in_progress, double demand, int steps) {
    for (int i = 0; i < steps; ++i, now += ShareController::kStep) {
      coordinator.OnReport("a", Report(in_progress, "big", demand), now);
      coordinator.Plan(now);
    }
    return *coordinator.Plan(now);
  };
  CHECK(run(30, 20'000, 4).limited.size() == 1);
  CHECK(run(5, 12'000, 20).limited.empty());
}

// Guards against a capacity that stays too large for the upstreams.
TEST_CASE("the capacity shrinks while more work is in progress than slots") {
  ShareController controller;
  FleetLoad load{.in_progress = 20, .slots = 10, .served = 0, .demand = 30'000};
  Clock::time_point now = kStart;
  CHECK(controller.Update(load, false, now) == 10'000);
  CHECK(controller.Update(load, true, now + milliseconds(199)) == 10'000);
  now += ShareController::kStep;
  CHECK(*controller.Update(load, true, now) == Approx(9000));
  load.in_progress = 10.5;
  now += ShareController::kStep;
  CHECK(*controller.Update(load, true, now) == Approx(9000));
  load.in_progress = 9;
  now += ShareController::kStep;
  CHECK(*controller.Update(load, true, now) == Approx(9450));
}

// Guards against refusals that go on for ever after an outage.
TEST_CASE("the capacity recovers after an outage of the upstreams") {
  ShareController controller;
  FleetLoad load{.in_progress = 20, .slots = 10, .served = 0, .demand = 30'000};
  Clock::time_point now = kStart;
  for (int i = 0; i < 50; ++i, now += ShareController::kStep) {
    controller.Update(load, true, now);
  }
  load.in_progress = 5;
  std::optional<double> capacity;
  for (int i = 0; i < 35; ++i, now += ShareController::kStep) {
    capacity = controller.Update(load, true, now);
  }
  CHECK(capacity.value_or(0) >= 10'000);
  load.slots = 0;
  CHECK_FALSE(controller.Update(load, true, now).has_value());
}

}  // namespace
}  // namespace turmeric::fairness
