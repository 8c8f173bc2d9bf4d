#include "turmeric/stages/call_speeds.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::routing::Clock;
using turmeric::routing::Upstream;
using turmeric::routing::UpstreamPtr;
using turmeric::stages::CallSpeeds;

namespace {

const Clock::time_point kNow = Clock::time_point(100s);
constexpr double kUsualMs = 200;

/** @param call_ms measured duration of ten calls that usually take 200 ms. */
UpstreamPtr MakeUpstream(const std::string& id, std::chrono::milliseconds call,
                         double latency_ms) {
  auto upstream = std::make_shared<Upstream>();
  upstream->entry.id = id;
  upstream->latency_ms = latency_ms;
  for (int i = 0; i < 10; ++i) {
    const auto send = upstream->load.OnSend(kNow - call);
    upstream->load.OnServed(send, kUsualMs, kNow);
    upstream->load.OnEnd(send);
  }
  return upstream;
}

}  // namespace

// Guards against pieces near their deadlines that are sent to a slow upstream
// while a fast one is free.
TEST_CASE(
    "a fast stage upstream is called first, and a call is planned longer "
    "at a slow one") {
  const std::vector<UpstreamPtr> all = {MakeUpstream("a", 600ms, 10),
                                        MakeUpstream("b", 200ms, 90)};
  const CallSpeeds speeds(all, true, kNow);
  std::vector<UpstreamPtr> free = all;
  speeds.Sort(free);
  CHECK(free.front() == all[1]);
  CHECK(speeds.Factor(*all[0]) == Approx(1.5));
  CHECK(speeds.Factor(*all[1]) == Approx(0.5));
}

// Guards against a change of the plans of deployments without uneven upstreams.
TEST_CASE("even stage upstreams are called as before") {
  const std::vector<UpstreamPtr> even = {MakeUpstream("a", 220ms, 90),
                                         MakeUpstream("b", 200ms, 10)};
  const std::vector<UpstreamPtr> uneven = {MakeUpstream("a", 200ms, 90),
                                           MakeUpstream("b", 600ms, 10)};
  for (const auto& [all, enabled] :
       {std::pair(even, true), std::pair(uneven, false)}) {
    const CallSpeeds speeds(all, enabled, kNow);
    std::vector<UpstreamPtr> free = all;
    speeds.Sort(free);
    CHECK(free.front() == all[1]);
    CHECK(speeds.Factor(*all[0]) == 1);
  }
}
