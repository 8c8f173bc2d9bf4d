#include "turmeric/store/duty_lease.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>

#include "turmeric/store/memory_store.h"

using turmeric::store::DutyLease;
using turmeric::store::MemoryStore;

TEST_CASE("a lease has one holder and its fencing number only grows") {
  // Instances take over a lease from each other while the store loses answers
  // and has outages, and their clocks differ by less than a lease duration. If
  // two instances held the lease at once, or two holders used one fencing
  // number, a late order of a paused holder would be accepted as current.
  rc::prop(
      "at most one instance holds the lease", [](std::vector<uint8_t> script) {
        constexpr int64_t kLeaseMs = 100;
        MemoryStore store;
        std::vector<DutyLease> instances;
        for (int i = 0; i < 3; ++i) {
          instances.emplace_back(store, "sweep", "p" + std::to_string(i),
                                 kLeaseMs);
        }
        std::map<int64_t, int> holder_of_fence;
        int64_t now = 1'000'000;
        int64_t last_fence = 0;
        for (const uint8_t step : script) {
          now += step % 64;
          store.SetFaults({.outage = step > 240,
                           .lose_answer_rate = (step & 0x20) ? 0.5 : 0.0,
                           .seed = step});
          const int instance = step % 3;
          // Each instance's clock is ahead by less than a lease duration.
          const int64_t skew = instance * 40;
          if (auto fence = instances[instance].AcquireOrRenew(now + skew)) {
            RC_ASSERT(fence.value() >= last_fence);
            last_fence = fence.value();
            auto [it, inserted] =
                holder_of_fence.emplace(fence.value(), instance);
            RC_ASSERT(it->second == instance);
          }
          int held = 0;
          for (int i = 0; i < 3; ++i) held += instances[i].held(now + i * 40);
          RC_ASSERT(held <= 1);
        }
      });
}
