#include "turmeric/stages/call_plan.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "turmeric/stages/result_room.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::routing::StageCallLimits;
using turmeric::stages::Clock;
using turmeric::stages::ResultRoom;

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

TEST_CASE("a call's time grows with its pieces") {
  REQUIRE(turmeric::stages::CallTime(Portal(), 1) == 221ms);
  REQUIRE(turmeric::stages::CallTime(Portal(), 8) == 368ms);
  // A slow upstream takes five times as long and still delivers.
  REQUIRE(turmeric::stages::CallTimeout(Portal(), 8) > 5 * 368ms);
}

TEST_CASE("a piece behind full rounds waits for each of them") {
  REQUIRE(turmeric::stages::LeastTime(Portal(), 31, 4) == 221ms);
  REQUIRE(turmeric::stages::LeastTime(Portal(), 32, 4) == 368ms + 221ms);
  REQUIRE(turmeric::stages::LeastTime(Portal(), 64, 4) == 2 * 368ms + 221ms);
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

// Story: results lie in an upstream's memory until they are read. If calls
// were sent on without counting them, the upstream would make pieces that it
// has no room for, and callers would wait for the work to be done again.
TEST_CASE("room counts calls in progress and results held") {
  ResultRoom room;
  room.Reserve(3'000'000);
  room.Hold("a", 1'500'000, kNow + 4s);
  room.Hold("b", 1'500'000, kNow + 1s);
  REQUIRE(room.Used(kNow) == 6'000'000);
  room.Unreserve(3'000'000);
  room.Forget("unknown");
  REQUIRE(room.Used(kNow) == 3'000'000);
  REQUIRE(room.Used(kNow + 2s) == 1'500'000);
  room.Forget("a");
  REQUIRE(room.Used(kNow + 2s) == 0);
  REQUIRE(turmeric::stages::RoomLeft(Portal(), 16'200'000) == 0);
}

// Story: an upstream holds results of processes that have ended. What is known
// here says that there is room, and every piece sent there is turned down.
TEST_CASE("room that was not there counts as taken for a while") {
  ResultRoom room;
  room.Hold("a", 1'500'000, kNow + 4s);
  room.NoteFull(turmeric::stages::RoomLeft(Portal(), room.Used(kNow)), kNow);
  REQUIRE(turmeric::stages::RoomLeft(Portal(), room.Used(kNow)) == 0);
  // What our own results free can be used at once.
  room.Forget("a");
  REQUIRE(turmeric::stages::RoomLeft(Portal(), room.Used(kNow + 400ms)) ==
          1'500'000);
  REQUIRE(room.Used(kNow + 500ms) == 0);
}

TEST_CASE("more pieces before never mean less time") {
  REQUIRE(rc::check([] {
    const auto before = *rc::gen::inRange<size_t>(0, 100000);
    const auto more = *rc::gen::inRange<size_t>(0, 1000);
    const auto upstreams = *rc::gen::inRange<size_t>(1, 50);
    RC_ASSERT(turmeric::stages::LeastTime(Portal(), before + more, upstreams) >=
              turmeric::stages::LeastTime(Portal(), before, upstreams));
  }));
}
