// Benchmarks of the CPU time of one engine placement that considers the memory
// of engines, by number of engines, and of one output estimate.
// Run: build/bench/capacity_bench --benchmark_filter=Room
#include <benchmark/benchmark.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "turmeric/engines/engine_room.h"
#include "turmeric/engines/output_estimate.h"
#include "turmeric/routing/choice.h"
#include "turmeric/routing/placement_tracker.h"

namespace {

using turmeric::engines::EngineRoom;
using turmeric::engines::OutputEstimate;
using turmeric::engines::TokenDemand;
using turmeric::routing::ChoiceRequest;
using turmeric::routing::ChooseUpstream;
using turmeric::routing::Clock;
using turmeric::routing::PlacementTracker;
using turmeric::routing::PromptMemory;
using turmeric::routing::Upstream;
using turmeric::routing::UpstreamPtr;

constexpr int kSessions = 1000;
constexpr int64_t kCapacity = 222'293;

/** One placement with four open requests for each engine. */
void BM_PlaceWithRoom(benchmark::State& state) {
  std::vector<UpstreamPtr> engines;
  for (int64_t i = 0; i < state.range(0); ++i) {
    engines.push_back(std::make_shared<Upstream>());
    engines.back()->entry.id = "i-" + std::to_string(i);
  }
  const bool with_room = state.range(1) != 0;
  const auto open = static_cast<uint64_t>(4 * state.range(0));
  EngineRoom room;
  PromptMemory memory;
  PlacementTracker tracker;
  uint64_t ticket = 0;
  for (auto _ : state) {
    const std::string session =
        "session" + std::to_string(++ticket % kSessions);
    const TokenDemand demand = {.shared_part = "shared",
                                .session_part = session,
                                .shared_tokens = 2520,
                                .session_tokens = 3780,
                                .own_tokens = 3140};
    ChoiceRequest choice;
    choice.has_prompt = true;
    choice.shared_part = demand.shared_part;
    choice.session_part = demand.session_part;
    choice.shared_ms = 66;
    choice.session_ms = 99;
    choice.memory = &memory;
    choice.small_groups = with_room;
    if (with_room) {
      choice.memory_use = {.room = &room,
                           .demand = demand,
                           .capacity = kCapacity,
                           .ms_per_token = 0.026};
    }
    const auto now = Clock::now();
    const UpstreamPtr engine = ChooseUpstream(engines, choice, now);
    const std::string& id = engine->entry.id;
    tracker.Add(ticket, engine, 76, now, room.Reserve(id, demand));
    if (ticket > open) tracker.End(ticket - open);
    memory.Note(id, demand.shared_part, 2520, kCapacity, now);
    memory.Note(id, demand.session_part, 3780, kCapacity, now);
  }
}
BENCHMARK(BM_PlaceWithRoom)
    ->ArgsProduct({{100, 10'000}, {0, 1}})
    ->ArgNames({"engines", "room"});

/** One finished stream and one estimate, by number of routes. */
void BM_RoomOutputEstimate(benchmark::State& state) {
  std::vector<std::string> routes;
  for (int64_t i = 0; i < state.range(0); ++i) {
    routes.push_back("route-" + std::to_string(i));
  }
  OutputEstimate estimate;
  size_t number = 0;
  for (auto _ : state) {
    const std::string& route = routes[++number % routes.size()];
    estimate.Note(route, {.events = static_cast<int64_t>(20 + number % 30),
                          .tokens = std::nullopt,
                          .hinted = 200});
    benchmark::DoNotOptimize(
        estimate.Tokens(route, {.hinted = 200, .maximum = 1000}));
  }
}
BENCHMARK(BM_RoomOutputEstimate)->Arg(1)->Arg(100)->ArgName("routes");

}  // namespace
