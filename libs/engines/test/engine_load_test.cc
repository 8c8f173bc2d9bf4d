#include <catch2/catch.hpp>
#include <cstdint>

#include "engine_simulation.h"

using turmeric::engines::Simulate;
using turmeric::engines::SimulatedLoad;
using turmeric::engines::SimulatedPlacement;
using turmeric::engines::SimulatedResult;

namespace {

/** The engine service of a deployment, whose engines have ample memory. */
SimulatedLoad SharedPartsLoad() {
  return {.engines = 90,
          .capacity = 222'293,
          .seconds = 34,
          .classes = {{.per_s = 41,
                       .shared_parts = 4,
                       .shared_tokens = 2520,
                       .sessions = 655,
                       .session_tokens = 3780,
                       .own_tokens = 2890,
                       .output_tokens = 250,
                       .ms = 700},
                      {.per_s = 94,
                       .shared_parts = 80,
                       .shared_tokens = 341,
                       .sessions = 862,
                       .session_tokens = 227,
                       .own_tokens = 1800,
                       .output_tokens = 110,
                       .ms = 350},
                      {.per_s = 47,
                       .shared_parts = 80,
                       .shared_tokens = 103,
                       .sessions = 747,
                       .session_tokens = 69,
                       .own_tokens = 543,
                       .output_tokens = 1400,
                       .ms = 2000}}};
}

/** Engines that hold few long requests at once. */
SimulatedLoad LittleMemoryLoad() {
  return {.engines = 12,
          .capacity = 20'000,
          .seconds = 60,
          .classes = {{.per_s = 8,
                       .shared_parts = 2,
                       .shared_tokens = 1000,
                       .sessions = 30,
                       .session_tokens = 500,
                       .own_tokens = 1500,
                       .output_tokens = 1500,
                       .output_factors = {0.5, 1, 1, 1.5},
                       .ms = 4000},
                      {.per_s = 20,
                       .shared_parts = 4,
                       .shared_tokens = 300,
                       .sessions = 100,
                       .session_tokens = 200,
                       .own_tokens = 300,
                       .output_tokens = 100,
                       .ms = 350}}};
}

}  // namespace

// Guards against shared parts that half of all engines read, and against
// groups of engines so small that requests wait for each other.
TEST_CASE("engine load: small groups read fewer parts again without waiting") {
  SimulatedResult by_reading;
  SimulatedResult by_room;
  const auto add = [](SimulatedResult& sum, const SimulatedResult& one) {
    sum.read_again += one.read_again;
    sum.wait_ms += one.wait_ms;
    sum.first_token_ms += one.first_token_ms;
  };
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    SimulatedLoad load = SharedPartsLoad();
    load.seed = seed;
    add(by_reading, Simulate(load, SimulatedPlacement::kByReading));
    add(by_room, Simulate(load, SimulatedPlacement::kByRoom));
  }
  CAPTURE(by_reading.read_again, by_room.read_again, by_reading.wait_ms,
          by_room.wait_ms, by_reading.first_token_ms, by_room.first_token_ms);
  REQUIRE(static_cast<double>(by_room.read_again) <
          0.85 * static_cast<double>(by_reading.read_again));
  REQUIRE(by_room.wait_ms <= by_reading.wait_ms);
  REQUIRE(by_room.first_token_ms <= by_reading.first_token_ms);
}

// Guards against requests that are preempted and read again at full engines
// while others have room.
TEST_CASE("engine load: with room considered, few requests are preempted") {
  const SimulatedLoad load = LittleMemoryLoad();
  const auto by_reading = Simulate(load, SimulatedPlacement::kByReading);
  const auto by_room = Simulate(load, SimulatedPlacement::kByRoom);
  CAPTURE(by_reading.preempted, by_room.preempted, by_reading.wait_ms,
          by_room.wait_ms, by_reading.read_again, by_room.read_again);
  REQUIRE(by_reading.preempted > 50);
  REQUIRE(by_room.preempted < by_reading.preempted / 20);
  REQUIRE(by_room.read_again < by_reading.read_again);
  REQUIRE(by_room.wait_ms < by_reading.wait_ms);
}

// Guards against a new owner, which knows neither parts nor reservations, that
// has more requests preempted than a placement without room has all the time.
TEST_CASE("engine load: a new owner without a record soon places as before") {
  SimulatedLoad load = LittleMemoryLoad();
  load.owner_changes_at = 30;
  const auto by_reading = Simulate(load, SimulatedPlacement::kByReading);
  const auto by_room = Simulate(load, SimulatedPlacement::kByRoom);
  CAPTURE(by_reading.preempted, by_room.preempted);
  REQUIRE(by_room.preempted < by_reading.preempted / 10);
}
