#include "turmeric/engines/engine_room.h"

#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "turmeric/routing/choice.h"
#include "turmeric/routing/placement_tracker.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::engines::EngineRoom;
using turmeric::engines::Reservation;
using turmeric::engines::TokenDemand;
using turmeric::routing::ChoiceRequest;
using turmeric::routing::ChooseUpstream;
using turmeric::routing::Clock;
using turmeric::routing::PlacementTracker;
using turmeric::routing::PromptMemory;
using turmeric::routing::Upstream;
using turmeric::routing::UpstreamPtr;

namespace {

const Clock::time_point kNow = Clock::time_point(100s);

TokenDemand Demand(int64_t own, std::string_view session = "session") {
  return {.shared_part = "shared",
          .session_part = session,
          .shared_tokens = 100,
          .session_tokens = 50,
          .own_tokens = own};
}

std::vector<UpstreamPtr> Engines(size_t count) {
  std::vector<UpstreamPtr> engines;
  for (size_t i = 0; i < count; ++i) {
    engines.push_back(std::make_shared<Upstream>());
    engines.back()->entry.id = "i-" + std::to_string(i);
  }
  return engines;
}

ChoiceRequest Choice(const EngineRoom& room, const TokenDemand& demand) {
  ChoiceRequest choice;
  choice.has_prompt = true;
  choice.memory_use = {
      .room = &room, .demand = demand, .capacity = 1000, .ms_per_token = 1};
  return choice;
}

}  // namespace

// Guards against a shared part that counts once for each request.
TEST_CASE("engine room: a part of several open requests counts once") {
  EngineRoom room;
  Reservation first = room.Reserve("i", Demand(300));
  REQUIRE(room.Promised("i") == 450);
  REQUIRE(room.Added("i", Demand(300)) == 300);
  REQUIRE(room.Added("i", Demand(300, "other")) == 350);
  {
    const Reservation second = room.Reserve("i", Demand(300));
    REQUIRE(room.Promised("i") == 750);
    first = Reservation();
    REQUIRE(room.Promised("i") == 450);
  }
  REQUIRE(room.Promised() == 0);
}

TEST_CASE("engine room: negative token counts reserve nothing") {
  EngineRoom room;
  const Reservation kept = room.Reserve("i", {.shared_part = "a",
                                              .session_part = "b",
                                              .shared_tokens = -5,
                                              .session_tokens = -5,
                                              .own_tokens = -500});
  REQUIRE(room.Promised("i") == 0);
}

// Guards against an engine that runs out of memory while others are empty.
TEST_CASE("engine room: full engines are used only if no engine has room") {
  const auto engines = Engines(2);
  EngineRoom room;
  const Reservation a = room.Reserve("i-0", Demand(700));
  const TokenDemand demand = Demand(400, "other");
  engines[1]->placed_prompt_ms = 5000;  // Busy, but with room.
  REQUIRE(ChooseUpstream(engines, Choice(room, demand), kNow) == engines[1]);
  const Reservation b = room.Reserve("i-1", Demand(600, "third"));
  REQUIRE(ChooseUpstream(engines, Choice(room, demand), kNow) == engines[1]);
  const Reservation c = room.Reserve("i-1", Demand(200, "third"));
  REQUIRE(ChooseUpstream(engines, Choice(room, demand), kNow) == engines[0]);
}

// Guards against a request that finds no engine because it exceeds all.
TEST_CASE("engine room: a request larger than an engine is still placed") {
  const auto engines = Engines(2);
  const EngineRoom room;
  REQUIRE(ChooseUpstream(engines, Choice(room, Demand(9000)), kNow) != nullptr);
}

// Guards against reservations that stay for ever after their end was lost.
TEST_CASE("engine room: reservations expire with their placement") {
  const auto engines = Engines(1);
  EngineRoom room;
  PlacementTracker tracker;
  tracker.Add(1, engines[0], 10, kNow, room.Reserve("i-0", Demand(300)));
  tracker.Add(1, engines[0], 10, kNow, room.Reserve("i-0", Demand(200)));
  tracker.Expire(kNow + 20s);
  REQUIRE(room.Promised() == 350);
  tracker.Expire(kNow + 31s);
  REQUIRE(room.Promised() == 0);
}

// Guards against room that ends of requests before a restart take from requests
// after it.
TEST_CASE("engine room: a restarted engine begins with an empty room") {
  EngineRoom room;
  Reservation before = room.Reserve("i", Demand(300));
  room.Reset("i");
  REQUIRE(room.Promised("i") == 0);
  const Reservation after = room.Reserve("i", Demand(200));
  before = Reservation();
  REQUIRE(room.Promised("i") == 350);
}

// Guards against two owners that count the same room: each must release only
// what it has reserved.
TEST_CASE("engine room: the rooms of two owners are independent") {
  EngineRoom first;
  EngineRoom second;
  Reservation a = first.Reserve("i", Demand(300));
  const Reservation b = second.Reserve("i", Demand(300));
  a = Reservation();
  REQUIRE(first.Promised() == 0);
  REQUIRE(second.Promised() == 450);
}

// Guards against placements that evict parts which are read again at once.
TEST_CASE("engine room: recently used parts that would be evicted cost") {
  const auto engines = Engines(2);
  EngineRoom room;
  PromptMemory memory;
  memory.Note("i-0", "recent", 900, 1000, kNow - 2s);
  memory.Note("i-1", "old", 900, 1000, kNow - 9s);
  ChoiceRequest choice = Choice(room, Demand(300));
  choice.memory = &memory;
  engines[1]->placed_prompt_ms = 400;
  REQUIRE(ChooseUpstream(engines, choice, kNow) == engines[1]);
  const std::array<std::string_view, 1> kept = {"recent"};
  REQUIRE(memory.EvictedTokens("i-0", {}, 150, 700, kNow - 8s) == 900);
  REQUIRE(memory.EvictedTokens("i-0", kept, 150, 700, kNow - 8s) == 0);
  REQUIRE(memory.EvictedTokens("i-1", {}, 150, 700, kNow - 8s) == 0);
  REQUIRE(memory.EvictedTokens("i-0", {}, 50, 1000, kNow - 8s) == 0);
}
