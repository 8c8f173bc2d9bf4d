#include "turmeric/gateway/upstream_pool.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

using turmeric::gateway::RoutingPolicy;
using turmeric::gateway::UpstreamPool;

TEST_CASE("a leaving upstream never gets new work") {
  // The instance list says upstream k is leaving; if Pick still chose it, the
  // caller would see a cut stream when it goes away moments later.
  rc::prop("never picked after MarkLeaving", [](uint8_t n, uint8_t k, bool rr) {
    const int size = n % 8 + 2;
    std::vector<std::string> addrs;
    for (int i = 0; i < size; ++i)
      addrs.push_back("127.0.0.1:" + std::to_string(9000 + i));
    UpstreamPool pool;
    pool.SetAddresses(addrs);
    pool.MarkLeaving(addrs[k % size]);
    std::mt19937_64 rng(k);
    for (int i = 0; i < 200; ++i) {
      const int pick = pool.Pick(
          rr ? RoutingPolicy::kRoundRobin : RoutingPolicy::kPowerOfTwo, rng);
      RC_ASSERT(pick >= 0);
      RC_ASSERT(pool.upstreams()[pick].address != addrs[k % size]);
    }
  });
}

TEST_CASE("power of two choices avoids the loaded upstream") {
  UpstreamPool pool;
  std::vector<std::string> addrs = {"127.0.0.1:1", "127.0.0.1:2"};
  pool.SetAddresses(addrs);
  for (int i = 0; i < 10; ++i) pool.OnSend(0);
  std::mt19937_64 rng(3);
  int to_busy = 0;
  for (int i = 0; i < 100; ++i)
    to_busy += pool.Pick(RoutingPolicy::kPowerOfTwo, rng) == 0;
  // Only when both draws land on the busy one (p = 1/4) is it chosen.
  CHECK(to_busy < 40);
}

TEST_CASE("state survives an address list change") {
  UpstreamPool pool;
  std::vector<std::string> a = {"127.0.0.1:1", "127.0.0.1:2"};
  pool.SetAddresses(a);
  pool.MarkLeaving("127.0.0.1:2");
  std::vector<std::string> b = {"127.0.0.1:2", "127.0.0.1:3"};
  pool.SetAddresses(b);
  CHECK(pool.upstreams()[0].leaving);
  CHECK_FALSE(pool.upstreams()[1].leaving);
  pool.MarkLeaving("127.0.0.1:3");
  std::mt19937_64 rng(1);
  CHECK(pool.Pick(RoutingPolicy::kPowerOfTwo, rng) == -1);
}
