#include "turmeric/limits/brittle_state.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::limits::BrittleState;
using turmeric::limits::BrittleStatement;
using Clock = turmeric::limits::Clock;

namespace {

constexpr int kSlots = 4;
const Clock::time_point kStart = Clock::time_point(1h);

BrittleStatement Statement(std::optional<int> tolerated,
                           Clock::duration sent_after = 0ms) {
  return {.tolerated = tolerated,
          .sent_at = kStart + sent_after,
          .received_at = kStart + sent_after + 5ms};
}

}  // namespace

TEST_CASE("an upstream that is not brittle admits any number of requests") {
  BrittleState state;
  CHECK_FALSE(state.Apply(Statement(std::nullopt)));
  CHECK(state.Admits(1000, kSlots, kStart));
}

TEST_CASE("a brittle upstream admits as many requests as it has slots") {
  BrittleState state;
  CHECK(state.Apply(Statement(3)));
  CHECK(state.Admits(kSlots - 1, kSlots, kStart));
  CHECK_FALSE(state.Admits(kSlots, kSlots, kStart));
  CHECK_FALSE(state.Apply(Statement(3, 1s)));
  CHECK(state.Apply(Statement(std::nullopt, 2s)));
  CHECK(state.Admits(kSlots, kSlots, kStart));
}

// Guards against an answer of an earlier request that ends the state.
TEST_CASE(
    "an overtaken answer does not change whether an upstream is brittle") {
  BrittleState state;
  state.Apply(Statement(3, 10ms));
  CHECK_FALSE(state.Apply(Statement(std::nullopt, 12ms)));
  CHECK(state.is_brittle());
}

// Guards against more refusals in a second than a brittle upstream tolerates,
// also if its queue is full whatever is sent.
TEST_CASE(
    "refusals of a brittle upstream are at most those that it tolerates") {
  const int tolerated = GENERATE(1, 2, 3, 8);
  CAPTURE(tolerated);
  BrittleState state;
  state.Apply(Statement(tolerated));
  std::deque<Clock::time_point> refusals;
  for (auto now = kStart; now < kStart + 20s; now += 1ms) {
    if (!state.Admits(0, kSlots, now)) continue;
    state.OnRefusal(1, now);
    refusals.push_back(now);
    while (refusals.front() + 1s <= now) refusals.pop_front();
    REQUIRE(refusals.size() <= static_cast<size_t>(tolerated));
  }
}

TEST_CASE("a brittle upstream gets its slots back some time after a refusal") {
  BrittleState state;
  state.Apply(Statement(3));
  state.OnRefusal(3, kStart);
  CHECK_FALSE(state.Admits(0, kSlots, kStart + 400ms));
  CHECK(state.Admits(1, kSlots, kStart + 600ms));
  CHECK_FALSE(state.Admits(2, kSlots, kStart + 600ms));
  CHECK(state.Admits(2, kSlots, kStart + 1100ms));
  CHECK(state.Admits(3, kSlots, kStart + 2100ms));
}
