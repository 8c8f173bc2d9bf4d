// Benchmarks of the CPU time of one engine placement by number of engines and
// instances and with an evacuated zone, for docs/CAPACITY.md.
// Run: build/bench/capacity_bench --benchmark_filter=Place
#include <benchmark/benchmark.h>

#include <array>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "turmeric/entry/cold_limiter.h"
#include "turmeric/routing/choice.h"
#include "turmeric/stages/shard.h"

namespace {

using turmeric::entry::ColdLimiter;
using turmeric::routing::ChoiceRequest;
using turmeric::routing::ChooseUpstream;
using turmeric::routing::Clock;
using turmeric::routing::PromptMemory;
using turmeric::routing::ServiceSpec;
using turmeric::routing::Upstream;
using turmeric::routing::UpstreamPtr;

constexpr std::array<const char*, 3> kZones = {"a", "b", "c"};
constexpr int kSessions = 1000;

/** Creates engines in three zones. @param evacuated true: evacuates the first
 * zone. */
std::vector<UpstreamPtr> MakeEngines(int64_t count, bool evacuated) {
  std::vector<UpstreamPtr> engines;
  for (int64_t i = 0; i < count; ++i) {
    auto engine = std::make_shared<Upstream>();
    engine->entry.id = "i-" + std::to_string(i);
    engine->entry.service = "llm";
    engine->entry.zone = kZones.at(static_cast<size_t>(i) % kZones.size());
    engine->evacuated = evacuated && engine->entry.zone == kZones.front();
    engines.push_back(std::move(engine));
  }
  return engines;
}

ColdLimiter MakeLimiter(int64_t instances) {
  ColdLimiter limiter({}, "entry-0");
  std::set<std::string, std::less<>> others;
  for (int64_t i = 1; i < instances; ++i) {
    others.insert("entry-" + std::to_string(i));
  }
  limiter.set_other_instances(std::move(others));
  return limiter;
}

/** Placement by the owner of a cell, a subset of the engines: selects the
 * engines of the cell, chooses one for the prompt and records the prompt parts
 * sent to it. */
void BM_PlaceAsOwner(benchmark::State& state) {
  const auto engines = MakeEngines(state.range(0), state.range(1) != 0);
  ColdLimiter limiter = MakeLimiter(300);
  ServiceSpec spec;
  spec.cold_per_s = 8.4;
  PromptMemory memory;
  int request = 0;
  for (auto _ : state) {
    const std::string session =
        "session" + std::to_string(++request % kSessions);
    const std::string name =
        turmeric::stages::CellName("llm", session, engines.size());
    const auto own = turmeric::stages::UpstreamsOfShard(
        turmeric::stages::ParseShard(name), engines);
    ChoiceRequest choice;
    choice.has_prompt = true;
    choice.shared_part = "shared";
    choice.session_part = session;
    choice.shared_ms = 50;
    choice.session_ms = 80;
    choice.memory = &memory;
    const auto now = Clock::now();
    choice.admits = limiter.AdmitsAsOwner(&spec, name, now);
    const UpstreamPtr engine = ChooseUpstream(own, choice, now);
    if (!engine) continue;
    memory.Note(engine->entry.id, "shared", 2500, 100000);
    memory.Note(engine->entry.id, session, 3800, 100000);
  }
}
BENCHMARK(BM_PlaceAsOwner)
    ->ArgsProduct({{60, 140, 560, 2240, 7600}, {0, 1}})
    ->ArgNames({"engines", "evacuated"});

/** Placement by an instance that cannot reach the owner of the cell. The
 * instance chooses among all engines and may use only its own share of the cold
 * limit of each engine. */
void BM_PlaceAlone(benchmark::State& state) {
  const auto engines = MakeEngines(140, false);
  const ColdLimiter limiter = MakeLimiter(state.range(0));
  ServiceSpec spec;
  spec.cold_per_s = 8.4;
  for (auto _ : state) {
    ChoiceRequest choice;
    choice.has_prompt = true;
    const auto now = Clock::now();
    choice.admits = limiter.AdmitsAsNonOwner(&spec, now);
    benchmark::DoNotOptimize(ChooseUpstream(engines, choice, now));
  }
}
BENCHMARK(BM_PlaceAlone)->Arg(6)->Arg(73)->Arg(300)->ArgName("instances");

}  // namespace
