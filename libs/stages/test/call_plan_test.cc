#include "turmeric/stages/call_plan.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "turmeric/stages/result_memory.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::routing::StageCallLimits;
using turmeric::stages::Clock;
using turmeric::stages::ResultMemory;

namespace {

const Clock::time_point kNow = Clock::time_point(100s);

StageCallLimits Portal() {
  StageCallLimits limits;
  limits.batch = 8;
  limits.call_ms = 200;
  limits.piece_ms = 21;
  limits.result_memory_bytes = 18'000'000;
  return limits;
}

}  // namespace

TEST_CASE("the duration of a call grows with its pieces") {
  REQUIRE(turmeric::stages::CallTime(Portal(), 1) == 221ms);
  REQUIRE(turmeric::stages::CallTime(Portal(), 8) == 368ms);
  // A slow upstream takes five times as long and still returns results.
  REQUIRE(turmeric::stages::CallTimeout(Portal(), 8) > 5 * 368ms);
}

// Guards against upstreams that stay idle until the timeout of a lost call, and
// against calls that pile up at an upstream which has only become slow.
TEST_CASE("a call is overdue by the durations of the calls before it") {
  using turmeric::stages::MayReplaceOverdue;
  using turmeric::stages::OverdueTime;
  REQUIRE(OverdueTime(Portal(), 8, 1) < 2 * 368ms);
  REQUIRE(OverdueTime(Portal(), 8, 5) > 5 * 368ms);
  REQUIRE(OverdueTime(Portal(), 8, 0.5) == OverdueTime(Portal(), 8, 1));
  StageCallLimits limits = Portal();
  REQUIRE_FALSE(MayReplaceOverdue(limits, 1));
  limits.queue = 2;
  REQUIRE(MayReplaceOverdue(limits, 2));
  REQUIRE_FALSE(MayReplaceOverdue(limits, 3));
}

TEST_CASE("a piece waits for each full round of calls ahead of it") {
  REQUIRE(turmeric::stages::MinCompletionTime(Portal(), 31, 4) == 221ms);
  REQUIRE(turmeric::stages::MinCompletionTime(Portal(), 32, 4) ==
          368ms + 221ms);
  REQUIRE(turmeric::stages::MinCompletionTime(Portal(), 64, 4) ==
          2 * 368ms + 221ms);
}

TEST_CASE("a queue without upstreams or batch has no backlog") {
  REQUIRE(turmeric::stages::CallsWaiting(Portal(), 100, 0) == 0);
  StageCallLimits none = Portal();
  none.batch = 0;
  REQUIRE(turmeric::stages::CallsWaiting(none, 100, 4) == 0);
  REQUIRE(turmeric::stages::CallsWaiting(Portal(), 96, 4) == 3.0);
  REQUIRE_FALSE(turmeric::stages::IsBackedUp(3.0));
  REQUIRE(turmeric::stages::IsBackedUp(3.1));
}

// Guards against calls to an upstream without memory for the results: results
// stay in its memory until they are read. If they are not counted, the upstream
// makes results that it cannot store, and callers wait for the work to be
// retried.
TEST_CASE("used memory counts calls in progress and results held") {
  ResultMemory memory;
  memory.Reserve(3'000'000);
  memory.Hold("a", 1'500'000, kNow + 4s);
  memory.Hold("b", 1'500'000, kNow + 1s);
  REQUIRE(memory.Used(kNow) == 6'000'000);
  memory.Unreserve(3'000'000);
  memory.Release("unknown");
  REQUIRE(memory.Used(kNow) == 3'000'000);
  REQUIRE(memory.Used(kNow + 2s) == 1'500'000);
  memory.Release("a");
  REQUIRE(memory.Used(kNow + 2s) == 0);
  REQUIRE(turmeric::stages::ResultMemoryLeft(Portal(), 16'200'000) == 0);
}

// Guards against repeated calls to an upstream that is full of results of ended
// processes: by the results tracked here, it has memory left, but it rejects
// every piece.
TEST_CASE("memory that proved unavailable counts as used for a while") {
  ResultMemory memory;
  memory.Hold("a", 1'500'000, kNow + 4s);
  memory.NoteFull(
      turmeric::stages::ResultMemoryLeft(Portal(), memory.Used(kNow)), kNow);
  REQUIRE(turmeric::stages::ResultMemoryLeft(Portal(), memory.Used(kNow)) == 0);
  // Memory of a tracked result is available as soon as the result is released.
  memory.Release("a");
  REQUIRE(turmeric::stages::ResultMemoryLeft(
              Portal(), memory.Used(kNow + 400ms)) == 1'500'000);
  REQUIRE(memory.Used(kNow + 500ms) == 0);
}

TEST_CASE("more pieces ahead never shorten the least time") {
  REQUIRE(rc::check([] {
    const auto before = *rc::gen::inRange<size_t>(0, 100000);
    const auto more = *rc::gen::inRange<size_t>(0, 1000);
    const auto upstreams = *rc::gen::inRange<size_t>(1, 50);
    RC_ASSERT(turmeric::stages::MinCompletionTime(Portal(), before + more,
                                                  upstreams) >=
              turmeric::stages::MinCompletionTime(Portal(), before, upstreams));
  }));
}
