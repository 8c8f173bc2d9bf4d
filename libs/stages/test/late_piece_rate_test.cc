#include "turmeric/stages/late_piece_rate.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::stages::Clock;
using turmeric::stages::LatePieceRate;

namespace {

const Clock::time_point kStart = Clock::time_point(100s);

}  // namespace

TEST_CASE("the rate is not used before late pieces have waited for a window") {
  LatePieceRate rate;
  REQUIRE(rate.ReachedAt(1000, kStart) == kStart);
  rate.NoteWaiting(true, kStart);
  REQUIRE(rate.ReachedAt(1000, kStart + 900ms) == kStart + 900ms);
}

// Guards against refusing late pieces only at their deadlines, although every
// call has been full of pieces that can be in time for seconds: the late pieces
// can be refused at once.
TEST_CASE("late pieces that no call takes are not expected to be served") {
  LatePieceRate rate;
  rate.NoteWaiting(true, kStart);
  REQUIRE(rate.ReachedAt(0, kStart + 1s) > kStart + 60s);
}

TEST_CASE("the time of a late piece follows from its position and the rate") {
  LatePieceRate rate;
  rate.NoteWaiting(true, kStart);
  auto now = kStart;
  for (int i = 0; i < 50; ++i) {
    now += 100ms;
    rate.NoteTaken(10, now);
  }
  // 100 late pieces per second.
  const auto first = rate.ReachedAt(0, now);
  const auto hundredth = rate.ReachedAt(99, now);
  REQUIRE(first < now + 100ms);
  REQUIRE(hundredth > now + 800ms);
  REQUIRE(hundredth < now + 1200ms);
}

// Guards against refusing a late piece while upstreams are free: after an
// overload and an idle time with an empty queue, the rate of the idle time is
// 0. A late piece judged by that rate would be refused at once.
TEST_CASE("an idle time resets the rate") {
  LatePieceRate rate;
  for (auto now = kStart; now < kStart + 3s; now += 50ms) {
    rate.NoteWaiting(true, now);
    rate.NoteTaken(5, now);
  }
  const auto later = kStart + 60s;
  rate.NoteWaiting(true, later);
  REQUIRE(rate.ReachedAt(0, later) == later);
}

TEST_CASE("a new overload does not use the rate of an earlier one") {
  LatePieceRate rate;
  rate.NoteWaiting(true, kStart);
  rate.NoteWaiting(false, kStart + 5s);
  rate.NoteWaiting(true, kStart + 6s);
  REQUIRE(rate.ReachedAt(50, kStart + 6500ms) == kStart + 6500ms);
}
