#include "turmeric/store/duty_lease.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>

#include "turmeric/store/memory_store.h"

using turmeric::store::DutyLease;
using turmeric::store::MemoryStore;

TEST_CASE("one holder at a time, and fencing numbers only grow") {
  // Instances take over a duty from each other while the store loses answers
  // and goes down, and their clocks differ by up to a lease. Two live holds
  // at once, or a fencing number used by two holders, would let a paused
  // holder's late order pass for a current one.
  rc::prop("holds exclude each other", [](std::vector<uint8_t> script) {
    constexpr int64_t kLeaseMs = 100;
    MemoryStore store;
    std::vector<DutyLease> instances;
    for (int i = 0; i < 3; ++i) {
      instances.emplace_back(store, "sweep", "p" + std::to_string(i), kLeaseMs);
    }
    std::map<int64_t, int> holder_of_fence;
    int64_t now = 1'000'000;
    int64_t last_fence = 0;
    for (const uint8_t step : script) {
      now += step % 64;
      store.SetFaults({.outage = step > 240,
                       .lose_answer_rate = (step & 0x20) ? 0.5 : 0.0,
                       .seed = step});
      const int who = step % 3;
      const int64_t skew = who * 40;  // clock ahead, within a lease
      if (auto fence = instances[who].Hold(now + skew)) {
        RC_ASSERT(fence.value() >= last_fence);
        last_fence = fence.value();
        auto [it, made] = holder_of_fence.emplace(fence.value(), who);
        RC_ASSERT(it->second == who);
      }
      int held = 0;
      for (int i = 0; i < 3; ++i) held += instances[i].held(now + i * 40);
      RC_ASSERT(held <= 1);
    }
  });
}
