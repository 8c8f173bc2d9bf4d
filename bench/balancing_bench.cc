// Benchmark of the CPU time of one choice of an upstream for a request without
// a prompt, by number of upstreams: by the expected time, and by the least
// load. Run: build/bench/capacity_bench --benchmark_filter=ChooseUneven
#include <benchmark/benchmark.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "turmeric/routing/choice.h"

namespace {

using turmeric::routing::ChoiceRequest;
using turmeric::routing::ChooseUpstream;
using turmeric::routing::Clock;
using turmeric::routing::Upstream;
using turmeric::routing::UpstreamPtr;

/** Creates upstreams, a third of which are slow, with reports and samples. */
std::vector<UpstreamPtr> MakeUneven(int64_t count, Clock::time_point now) {
  std::vector<UpstreamPtr> upstreams;
  for (int64_t i = 0; i < count; ++i) {
    auto u = std::make_shared<Upstream>();
    u->entry.id = "i-" + std::to_string(i);
    u->entry.slots = 6;
    u->latency_ms = 100;
    const std::chrono::milliseconds time(i % 3 == 0 ? 300 : 100);
    for (int sample = 0; sample < 10; ++sample) {
      const auto send = u->load.OnSend(now - time);
      u->load.OnReport({.running = static_cast<int>(i % 6),
                        .waiting = 0,
                        .slots = 6,
                        .pace = i % 10 == 0 ? 2.5 : 1.0,
                        .at = now});
      u->load.OnServed(send, 1.0, now);
      u->load.OnEnd(send);
    }
    upstreams.push_back(std::move(u));
  }
  return upstreams;
}

/** Arguments: number of upstreams; 1: by the expected time. */
void BM_ChooseUneven(benchmark::State& state) {
  const auto now = Clock::now();
  const auto upstreams = MakeUneven(state.range(0), now);
  uint64_t draw = 0;
  for (auto _ : state) {
    ChoiceRequest request;
    if (state.range(1) != 0) request.draw = ++draw;
    benchmark::DoNotOptimize(ChooseUpstream(upstreams, request, now));
  }
}
BENCHMARK(BM_ChooseUneven)
    ->ArgNames({"upstreams", "expected_time"})
    ->ArgsProduct({{4, 100, 10000}, {0, 1}});

}  // namespace
