#include "turmeric/gateway/upstream_pool.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "turmeric/gateway/upstream_pools.h"

using turmeric::config::StageSpec;
namespace turmeric::gateway {
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Clock::time_point kStart = Clock::time_point() + std::chrono::hours(1);

std::vector<UpstreamRef> Members(int n) {
  std::vector<UpstreamRef> members;
  for (int i = 0; i < n; ++i) {
    members.push_back(std::make_shared<UpstreamState>());
    members.back()->address = "127.0.0.1:" + std::to_string(9000 + i);
  }
  return members;
}

StageSpec Stage(const char* pool, std::vector<std::string> upstreams) {
  StageSpec stage;
  stage.name = "encode";
  stage.pool = pool;
  stage.upstreams = std::move(upstreams);
  return stage;
}

}  // namespace

TEST_CASE("a leaving upstream never gets new calls") {
  // Guards against calls to a leaving upstream, whose streams are cut when it
  // stops. A leaving upstream must not be selected even if every other member
  // is ejected.
  rc::prop("never picked once leaving",
           [](uint8_t n, uint8_t k, uint8_t policy, bool others_fail) {
             const int size = n % 8 + 2;
             const auto members = Members(size);
             UpstreamPool pool;
             pool.SetMembers(members);
             members[k % size]->listed_leaving = true;
             if (others_fail) {
               for (const auto& m : members) m->failures = 5;
               for (const auto& m : members) {
                 m->ejected_until = kStart + seconds(9);
               }
             }
             std::mt19937_64 rng(k);
             for (int i = 0; i < 200; ++i) {
               const auto pick = pool.Pick(
                   static_cast<RoutingPolicy>(policy % 3), rng, kStart);
               RC_ASSERT(pick != nullptr);
               RC_ASSERT(pick != members[k % size]);
             }
           });
}

TEST_CASE("power of two choices avoids the loaded upstream") {
  UpstreamPool pool;
  const auto members = Members(2);
  pool.SetMembers(members);
  for (int i = 0; i < 10; ++i) OnSend(*members[0]);
  std::mt19937_64 rng(3);
  for (int i = 0; i < 100; ++i) {
    CHECK(pool.Pick(RoutingPolicy::kPowerOfTwo, rng, kStart) == members[1]);
  }
}

TEST_CASE(
    "latency-aware selection avoids a slow upstream and retries it later") {
  // Guards against a slow upstream with a short queue: selection by queue alone
  // keeps sending calls to it. Selection by queue times latency avoids it, and
  // tries it again once its sample is old.
  UpstreamPool pool;
  const auto members = Members(2);
  pool.SetMembers(members);
  for (const auto& m : members) OnSend(*m);
  OnReport(*members[0], {CallResult::kOk, 100.0, 0}, kStart);
  OnReport(*members[1], {CallResult::kOk, 5.0, 0}, kStart);
  std::mt19937_64 rng(3);
  const auto policy = RoutingPolicy::kPowerOfTwoEwma;
  CHECK(pool.Pick(policy, rng, kStart) == members[1]);
  auto later = kStart;
  for (int i = 0; i < 20; ++i) {
    later += milliseconds(500);
    OnSend(*members[1]);
    OnReport(*members[1], {CallResult::kOk, 5.0, 0}, later);
  }
  CHECK(pool.Pick(policy, rng, later) == members[0]);
}

TEST_CASE("an unreachable upstream does not attract calls") {
  // Guards against traffic to an unreachable upstream: connections are refused
  // at once, so its queue is always empty and it appears least loaded. It must
  // be ejected after a few failures, then probed one call at a time.
  UpstreamPool pool;
  const auto members = Members(3);
  pool.SetMembers(members);
  std::mt19937_64 rng(5);
  int calls_to_unreachable = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto now = kStart + milliseconds(i);
    const auto pick = pool.Pick(RoutingPolicy::kPowerOfTwoEwma, rng, now);
    OnSend(*pick);
    const bool unreachable = pick == members[0];
    calls_to_unreachable += unreachable;
    OnReport(*pick,
             {unreachable ? CallResult::kNotSent : CallResult::kOk,
              unreachable ? 0.1 : 5, 0},
             now);
  }
  CHECK(calls_to_unreachable <= 5);
  OnSend(*members[0]);
  OnReport(*members[0], {CallResult::kOk, 5, 0}, kStart + seconds(20));
  CHECK_FALSE(IsEjected(*members[0], kStart + seconds(20)));
}

TEST_CASE("businesses with equal pool names do not share the pool") {
  // Guards against shared pool state: two businesses use the same pool name.
  // With pools keyed by name alone, each request would replace the other's
  // members, and a leaving upstream would receive calls.
  UpstreamPools pools;
  const StageSpec nile = Stage("encoder", {"127.0.0.1:1", "127.0.0.1:2"});
  const StageSpec arvo = Stage("encoder", {"127.0.0.1:3"});
  std::mt19937_64 rng(1);
  const auto first = pools.PoolFor("nilelight", nile).members()[0];
  OnSend(*first);
  OnReport(*first, {CallResult::kRefusedLeaving, 1, -1}, kStart);
  for (int i = 0; i < 20; ++i) {
    const auto arvo_pick = pools.PoolFor("arvoredo", arvo)
                               .Pick(RoutingPolicy::kPowerOfTwo, rng, kStart);
    CHECK(arvo_pick->address == "127.0.0.1:3");
    const auto nile_pick = pools.PoolFor("nilelight", nile)
                               .Pick(RoutingPolicy::kPowerOfTwo, rng, kStart);
    CHECK(nile_pick->address == "127.0.0.1:2");
  }
}

TEST_CASE("upstream state survives settings changes with calls in flight") {
  // Guards against accounting by position: a settings change removes a member
  // while a call to it is in flight. The end of the call must not be recorded
  // on another member.
  UpstreamPools pools;
  const StageSpec before = Stage("p", {"127.0.0.1:1", "127.0.0.1:2"});
  const UpstreamRef removed = pools.PoolFor("b", before).members()[0];
  const UpstreamRef kept = pools.PoolFor("b", before).members()[1];
  OnSend(*removed);
  OnSend(*kept);
  pools.SetLeaving("127.0.0.1:3", true);
  const StageSpec after = Stage("p", {"127.0.0.1:2", "127.0.0.1:3"});
  const auto members = pools.PoolFor("b", after).members();
  CHECK(members[0] == kept);
  CHECK(members[0]->inflight == 1);
  CHECK(members[1]->listed_leaving);
  OnReport(*removed, {CallResult::kOk, 1, 0}, kStart);
  CHECK(removed->inflight == 0);
  CHECK(kept->inflight == 1);
  pools.SetLeaving("127.0.0.1:2", true);
  std::mt19937_64 rng(1);
  CHECK(
      pools.PoolFor("b", after).Pick(RoutingPolicy::kPowerOfTwo, rng, kStart) ==
      nullptr);
}

}  // namespace turmeric::gateway
