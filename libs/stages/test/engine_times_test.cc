#include "turmeric/stages/engine_times.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::stages::EngineTimes;

// Guards against a fixed estimate with fast engines: if engines answer within
// 60 ms, but stages are planned to end 200 ms before the answer is due,
// requests that could still be in time count as late in a burst, wait behind
// all others, and are refused.
TEST_CASE("fast engines leave the stages more time") {
  EngineTimes times;
  REQUIRE(times.Expected("llm", 60ms) == 260ms);
  for (int i = 0; i < 60; ++i) times.Note("llm", 60ms, i % 2 ? 100ms : 80ms);
  REQUIRE(times.Expected("llm", 60ms) < 130ms);
  REQUIRE(times.Expected("llm", 60ms) >= 100ms);
  REQUIRE(times.Expected("other", 60ms) == 260ms);
}

// Guards against a fixed estimate with slow engines: if engines take half a
// second in a burst of long prompts, stages that end as late as before make
// every request late at its engine.
TEST_CASE("slow engines leave the stages less time") {
  EngineTimes times;
  for (int i = 0; i < 60; ++i) times.Note("llm", 60ms, 500ms);
  REQUIRE(times.Expected("llm", 60ms) >= 490ms);
}

TEST_CASE("prompts whose parts are cached take less than their estimate") {
  EngineTimes times;
  for (int i = 0; i < 80; ++i) times.Note("llm", 240ms, 90ms);
  REQUIRE(times.Expected("llm", 240ms) < 140ms);
  REQUIRE(times.Expected("llm", 10ms) == 0ms);
}
