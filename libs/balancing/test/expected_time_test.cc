#include "turmeric/balancing/expected_time.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::balancing::Clock;
using turmeric::balancing::ExpectedTime;
using turmeric::balancing::IsUneven;
using turmeric::balancing::MeanOf;
using turmeric::balancing::UpstreamLoad;
using turmeric::balancing::UpstreamState;

namespace {

const Clock::time_point kNow = Clock::time_point(100s);

void Learn(UpstreamLoad& load, std::chrono::milliseconds time) {
  for (int i = 0; i < 10; ++i) {
    const auto send = load.OnSend(kNow - time);
    load.OnServed(send, 1.0, kNow);
    load.OnEnd(send);
  }
}

std::vector<UpstreamState> StatesOf(const std::vector<UpstreamLoad>& loads,
                                    int slots) {
  std::vector<UpstreamState> states;
  for (const UpstreamLoad& load : loads) {
    states.push_back({.load = &load, .slots = slots});
  }
  return states;
}

}  // namespace

TEST_CASE("the expected time counts waiting, pace and the last free slot") {
  std::vector<UpstreamLoad> loads(1);
  Learn(loads[0], 90ms);
  const auto states = StatesOf(loads, 4);
  const auto time = [&](int running, int waiting, double pace) {
    loads[0].OnReport({.running = running,
                       .waiting = waiting,
                       .slots = 4,
                       .pace = pace,
                       .at = kNow});
    return ExpectedTime(states[0], MeanOf(states, kNow), 1.0, kNow);
  };
  CHECK(time(2, 0, 1) == Approx(90));
  CHECK(time(3, 0, 1) == Approx(120));
  CHECK(time(4, 3, 1) == Approx(120 + 90));
  CHECK(time(0, 0, 2.5) == Approx(225));
}

// Guards against an upstream that always reports that it is idle, or fast.
TEST_CASE("a false report gives at most the advantage of a free slot") {
  std::vector<UpstreamLoad> loads(2);
  for (UpstreamLoad& load : loads) {
    Learn(load, 100ms);
    for (int i = 0; i < 3; ++i) load.OnSend(kNow);
  }
  loads[0].OnReport({.slots = 4, .pace = 0.1, .at = kNow + 1ms});
  loads[1].OnReport({.running = 3, .slots = 4, .at = kNow + 1ms});
  const auto states = StatesOf(loads, 4);
  const auto mean = MeanOf(states, kNow + 1ms);
  const double lying = ExpectedTime(states[0], mean, 1.0, kNow + 1ms);
  const double honest = ExpectedTime(states[1], mean, 1.0, kNow + 1ms);
  CHECK(lying >= 0.74 * honest);
}

// Guards against a new owner that prefers the upstreams it knows nothing about,
// and against an upstream without the header that looks idle.
TEST_CASE("an upstream without samples and reports counts as the mean") {
  std::vector<UpstreamLoad> loads(3);
  Learn(loads[0], 100ms);
  Learn(loads[1], 300ms);
  loads[0].OnReport({.running = 4, .waiting = 4, .slots = 4, .at = kNow});
  loads[1].OnReport({.running = 4, .waiting = 4, .slots = 4, .at = kNow});
  const auto states = StatesOf(loads, 4);
  const auto mean = MeanOf(states, kNow);
  const double known = ExpectedTime(states[0], mean, 1.0, kNow);
  CHECK(ExpectedTime(states[2], mean, 1.0, kNow) == Approx(2 * known));
  const std::vector<UpstreamLoad> unknown(2);
  const auto new_owner = StatesOf(unknown, 4);
  const auto no_mean = MeanOf(new_owner, kNow);
  CHECK(ExpectedTime(new_owner[0], no_mean, 1.0, kNow) ==
        ExpectedTime(new_owner[1], no_mean, 1.0, kNow));
}

// Guards against a change of the choices in deployments without uneven
// upstreams, and against uneven ones that are not recognised.
TEST_CASE("upstreams are uneven by a pace or by a quarter in speed") {
  std::vector<UpstreamLoad> loads(2);
  const auto states = StatesOf(loads, 4);
  Learn(loads[0], 100ms);
  Learn(loads[1], 120ms);
  loads[0].OnReport({.slots = 4, .pace = 1.1, .at = kNow});
  CHECK_FALSE(IsUneven(states, kNow));
  loads[0].OnReport({.slots = 4, .pace = 2.5, .at = kNow});
  loads[0].OnReport({.slots = 4, .at = kNow + 1s});
  CHECK(IsUneven(states, kNow + 1s));
  CHECK_FALSE(IsUneven(states, kNow + 11s));
  Learn(loads[1], 150ms);
  CHECK(IsUneven(states, kNow + 11s));
}

// Guards against requests to an upstream that has stopped to answer but keeps
// its last figures.
TEST_CASE("requests that are unanswered for long count as expected time") {
  std::vector<UpstreamLoad> loads(1);
  Learn(loads[0], 100ms);
  loads[0].OnSend(kNow);
  const auto states = StatesOf(loads, 4);
  CHECK(ExpectedTime(states[0], MeanOf(states, kNow), 1.0, kNow + 2s) >= 4000);
}
