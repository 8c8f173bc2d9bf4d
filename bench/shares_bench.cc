// Benchmarks of the CPU time of one division of a service's capacity, by number
// of active organisations.
// Run: build/bench/capacity_bench --benchmark_filter=Share
#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "turmeric/fairness/max_min_level.h"
#include "turmeric/fairness/share_coordinator.h"

namespace {

using turmeric::fairness::Clock;
using turmeric::fairness::DemandReport;
using turmeric::fairness::kMaxReported;
using turmeric::fairness::MaxMinLevel;
using turmeric::fairness::OrganisationDemand;
using turmeric::fairness::ShareController;
using turmeric::fairness::ShareCoordinator;

constexpr int kInstances = 76;

double DemandOf(int64_t organisation) {
  return static_cast<double>(1 + organisation % 97);
}

void BM_ShareLevel(benchmark::State& state) {
  std::vector<double> demands;
  for (int64_t i = 0; i < state.range(0); ++i) demands.push_back(DemandOf(i));
  const double capacity = 20.0 * static_cast<double>(state.range(0));
  for (auto _ : state) {
    benchmark::DoNotOptimize(MaxMinLevel(capacity, demands));
  }
}
BENCHMARK(BM_ShareLevel)->Arg(100)->Arg(10'000);

/** One round of reports of all instances, each with as many organisations as a
 * report may have, and the plan. */
void BM_ShareCoordinator(benchmark::State& state) {
  const int64_t organisations = state.range(0);
  std::vector<DemandReport> reports;
  for (int i = 0; i < kInstances; ++i) {
    DemandReport report{.service = "plain",
                        .in_progress = 10,
                        .slots = 100,
                        .served = 1000,
                        .demands = {}};
    const auto count =
        std::min<int64_t>(organisations, static_cast<int64_t>(kMaxReported));
    for (int64_t k = 0; k < count; ++k) {
      const int64_t organisation = (i * count + k) % organisations;
      report.demands.push_back({.organisation = std::to_string(organisation),
                                .demand = 100 * DemandOf(organisation)});
    }
    reports.push_back(std::move(report));
  }
  ShareCoordinator coordinator;
  Clock::time_point now;
  for (auto _ : state) {
    for (int i = 0; i < kInstances; ++i) {
      coordinator.OnReport("entry-" + std::to_string(i),
                           reports[static_cast<size_t>(i)], now);
    }
    benchmark::DoNotOptimize(coordinator.Plan(now));
    now += ShareController::kStep;
  }
}
BENCHMARK(BM_ShareCoordinator)
    ->Arg(100)
    ->Arg(10'000)
    ->Unit(benchmark::kMicrosecond);

}  // namespace
