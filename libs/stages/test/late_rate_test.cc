#include "turmeric/stages/late_rate.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::stages::Clock;
using turmeric::stages::LateRate;

namespace {

const Clock::time_point kStart = Clock::time_point(100s);

}  // namespace

TEST_CASE("nothing is known before late pieces have waited for a while") {
  LateRate rate;
  REQUIRE(rate.ReachedAt(1000, kStart) == kStart);
  rate.NoteWaiting(true, kStart);
  REQUIRE(rate.ReachedAt(1000, kStart + 900ms) == kStart + 900ms);
}

// Story: for seconds every call is full with pieces that can be in time. The
// late ones wait until their deadlines and are refused then; their callers
// could have been told at once.
TEST_CASE("late pieces that no call takes are never reached") {
  LateRate rate;
  rate.NoteWaiting(true, kStart);
  REQUIRE(rate.ReachedAt(0, kStart + 1s) > kStart + 60s);
}

TEST_CASE("a late piece is reached by its place and the rate") {
  LateRate rate;
  rate.NoteWaiting(true, kStart);
  auto now = kStart;
  for (int i = 0; i < 50; ++i) {
    now += 100ms;
    rate.NoteTaken(10, now);
  }
  // A hundred a second.
  const auto first = rate.ReachedAt(0, now);
  const auto hundredth = rate.ReachedAt(99, now);
  REQUIRE(first < now + 100ms);
  REQUIRE(hundredth > now + 800ms);
  REQUIRE(hundredth < now + 1200ms);
}

// Story: an overload ends, the queue empties, and for a while nothing is asked.
// Then one piece comes late while upstreams are free. Held against the rate of
// the quiet time, which is none, it would be refused at once.
TEST_CASE("a quiet time says nothing of the rate") {
  LateRate rate;
  for (auto now = kStart; now < kStart + 3s; now += 50ms) {
    rate.NoteWaiting(true, now);
    rate.NoteTaken(5, now);
  }
  const auto later = kStart + 60s;
  rate.NoteWaiting(true, later);
  REQUIRE(rate.ReachedAt(0, later) == later);
}

TEST_CASE("a new overload begins without what the last one showed") {
  LateRate rate;
  rate.NoteWaiting(true, kStart);
  rate.NoteWaiting(false, kStart + 5s);
  rate.NoteWaiting(true, kStart + 6s);
  REQUIRE(rate.ReachedAt(50, kStart + 6500ms) == kStart + 6500ms);
}
