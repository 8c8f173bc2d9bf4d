#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <numeric>
#include <string>
#include <vector>

#include "turmeric/fairness/admission_gate.h"
#include "turmeric/fairness/max_min_level.h"
#include "turmeric/fairness/retry_after_excess.h"
#include "turmeric/fairness/service_share.h"
#include "turmeric/fairness/share_plan.h"
#include "turmeric/fairness/work_estimate.h"
#include "turmeric/fairness/work_meter.h"

namespace turmeric::fairness {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Clock::time_point kStart;

// Guards against a level that divides more or less than the capacity.
TEST_CASE("the level divides exactly the capacity") {
  CHECK(rc::check([] {
    const auto demands = *rc::gen::container<std::vector<double>>(
        rc::gen::map(rc::gen::inRange(0, 1000), [](int d) { return d * 1.0; }));
    const double total = std::accumulate(demands.begin(), demands.end(), 0.0);
    const double capacity = total * *rc::gen::inRange(0, 120) / 100;
    const double level = MaxMinLevel(capacity, demands);
    const double granted = std::accumulate(
        demands.begin(), demands.end(), 0.0,
        [level](double sum, double d) { return sum + std::min(d, level); });
    RC_ASSERT(std::abs(granted - std::min(capacity, total)) < 1e-6);
  }));
}

// Guards against a limit for organisations that leave capacity to others.
TEST_CASE("a plan limits only organisations above the level") {
  const std::vector<OrganisationDemand> demands = {{"big", 240}, {"small", 12}};
  const SharePlan plan = MakeSharePlan(72, demands);
  REQUIRE(plan.limited.size() == 1);
  CHECK(plan.limited[0].organisation == "big");
  CHECK(plan.limited[0].fraction == Approx(0.25));
  CHECK(MakeSharePlan(252, demands).limited.empty());
}

// Guards against many small organisations that get the share of one.
TEST_CASE("organisations that are added up have a share each") {
  const std::vector<OrganisationDemand> demands = {
      {"big", 300}, {std::string(kOtherOrganisations), 100, 10}};
  const SharePlan plan = MakeSharePlan(200, demands);
  REQUIRE(plan.limited.size() == 1);
  CHECK(plan.level == Approx(100));
}

TEST_CASE("the meter follows a rate within its time constant") {
  WorkMeter meter;
  for (int i = 0; i < 300; ++i) {
    meter.Add("a", 5, kStart + milliseconds(10 * i));
  }
  CHECK(meter.Rate("a", kStart + seconds(3)) == Approx(500).epsilon(0.06));
}

// Guards against a crowd that is taken for a part of itself while it begins.
TEST_CASE("the meter knows the rate of a crowd that begins with it") {
  WorkMeter meter;
  for (const auto begin : {kStart, kStart + seconds(60)}) {
    for (int i = 0; i <= 40; ++i) {
      meter.Add("a", 200, begin + milliseconds(10 * i));
    }
    const double rate = meter.Rate("a", begin + milliseconds(400));
    CHECK(rate == Approx(20'000).epsilon(0.1));
    CHECK(meter.Largest(1, begin + milliseconds(400)).front().demand == rate);
  }
}

// Guards against one request that counts as a crowd.
TEST_CASE("the meter takes no rate over a shorter time than a report") {
  WorkMeter meter;
  meter.Add("a", 200, kStart);
  CHECK(meter.Rate("a", kStart) <= 5.6 * 200);
  CHECK(meter.Rate("a", kStart + milliseconds(200)) <= 5.6 * 200);
}

// Guards against memory for organisations that are not in use any more.
TEST_CASE("idle organisations hold no memory and the rest is bounded") {
  WorkMeter meter;
  const int count = static_cast<int>(WorkMeter::kMaxOrganisations) + 500;
  for (int i = 0; i < count; ++i) meter.Add(std::to_string(i), 1, kStart);
  CHECK(meter.size() <= WorkMeter::kMaxOrganisations + 1);
  const auto largest = meter.Largest(10, kStart);
  CHECK(largest.size() == 11);
  CHECK(largest.back().organisation == kOtherOrganisations);
  CHECK(largest.back().demand == Approx((count - 10) * largest.front().demand));
  CHECK(meter.Largest(10, kStart + seconds(6)).empty());
  CHECK(meter.size() == 0);
}

// Guards against random refusals of organisations with few requests.
TEST_CASE("an organisation admitted at a quarter has each fourth request") {
  AdmissionGate gate;
  gate.SetPlan({.level = 1, .limited = {{"big", 0.25, 4}}}, kStart);
  for (int i = 1; i <= 12; ++i) {
    CHECK(gate.Admit("big", kStart).has_value() == (i % 4 != 1));
    CHECK_FALSE(gate.Admit("small", kStart).has_value());
  }
}

// Guards against the limits of a coordinator that does not answer any more.
TEST_CASE("a plan ends after its validity") {
  AdmissionGate gate;
  gate.SetPlan({.level = 1, .limited = {{"big", 0.0, 4}}}, kStart);
  const auto end = kStart + AdmissionGate::kPlanValidity;
  gate.Admit("big", end);
  CHECK(gate.Admit("big", end).has_value());
  CHECK_FALSE(gate.Admit("big", end + milliseconds(1)).has_value());
}

// Guards against a plan of another process that refuses everything.
TEST_CASE("limits with unsound figures are ignored") {
  AdmissionGate gate;
  gate.SetPlan({.level = 1,
                .limited = {{"a", std::nan(""), 1},
                            {"b", -1, 1},
                            {"c", 0.5, std::nan("")},
                            {"d", 2, 1}}},
               kStart);
  for (const char* name : {"a", "b", "c", "d"}) {
    CHECK_FALSE(gate.Admit(name, kStart).has_value());
  }
}

TEST_CASE("the delay of a refusal grows with the excess within bounds") {
  CHECK(RetryAfterExcess(30, 10, 0) == milliseconds(1000));
  CHECK(RetryAfterExcess(30, 10, 0.5) == milliseconds(1500));
  CHECK(RetryAfterExcess(10.1, 10, 0) == milliseconds(200));
  CHECK(RetryAfterExcess(1000, 1, 0) == milliseconds(5000));
  CHECK(RetryAfterExcess(1, 0, 0) == milliseconds(5000));
  CHECK(RetryAfterExcess(std::nan(""), 1, 0) == milliseconds(200));
}

// Guards against queueing time that counts as work.
TEST_CASE("the work of a request stays near its time without a queue") {
  WorkEstimate estimate;
  for (int i = 0; i < 20; ++i) estimate.Note(milliseconds(100));
  for (int i = 0; i < 100; ++i) estimate.Note(milliseconds(900));
  CHECK(estimate.work() < 200);
}

// Guards against the return of the overload that the last plan had ended.
TEST_CASE("an instance without a coordinator divides its part of the slots") {
  ServiceShare share;
  const CapacityPart part{.slots = 24, .instances = 6};
  const auto refused = [&](Clock::time_point now) {
    int count = 0;
    for (int i = 0; i < 100; ++i) {
      if (share.OnRequest("big", 200, now)) ++count;
    }
    return count;
  };
  CHECK(refused(kStart) == 0);
  share.OnPlan({.level = 1, .limited = {{"big", 0.5, 2}}}, kStart);
  CHECK(refused(kStart) == 50);
  const auto expired = kStart + milliseconds(1001);
  share.Update(part, expired);
  CHECK(refused(expired) >= 50);
  CHECK_FALSE(share.OnRequest("small", 200, expired).has_value());
  share.OnPlan({}, expired);
  CHECK(refused(expired) == 0);
}

// Guards against limits on a service that no plan has limited.
TEST_CASE("an instance limits nothing before the first plan") {
  ServiceShare share;
  for (int i = 0; i < 500; ++i) {
    CHECK_FALSE(share.OnRequest("big", 200, kStart).has_value());
  }
  share.Update({.slots = 1, .instances = 6}, kStart + seconds(1));
  CHECK_FALSE(share.OnRequest("big", 200, kStart + seconds(1)).has_value());
}

// Guards against reports about services that are not in use.
TEST_CASE("an instance is under pressure beyond its part of the slots") {
  ServiceShare share;
  const CapacityPart part{.slots = 12, .instances = 6};
  share.OnRequest("a", 100, kStart);
  share.OnRequest("a", 100, kStart);
  CHECK_FALSE(share.IsUnderPressure(part, kStart));
  share.OnRequest("a", 100, kStart);
  CHECK(share.IsUnderPressure(part, kStart));
  for (int i = 0; i < 3; ++i) share.OnEnd(100, true, kStart);
  CHECK_FALSE(share.IsUnderPressure(part, kStart));
  CHECK_FALSE(share.IsIdle(kStart));
  CHECK(share.IsIdle(kStart + seconds(6)));
}

}  // namespace
}  // namespace turmeric::fairness
