#include "turmeric/entry/start_waiters.h"

#include <catch2/catch.hpp>
#include <optional>

using turmeric::entry::StartWaiters;

// Guards against requests that no longer wait and keep others from waiting, in
// an outage of the store that is longer than a request may wait.
TEST_CASE("a request that has ended its wait makes room for another one") {
  StartWaiters waiters;
  std::optional<uint64_t> last;
  int called = 0;
  for (size_t i = 0; i < StartWaiters::kMaxWaiters; ++i) {
    last = waiters.Add([&called] { ++called; });
    REQUIRE(last);
  }
  REQUIRE_FALSE(waiters.Add([] {}));
  waiters.Remove(*last);
  REQUIRE(waiters.Add([&called] { ++called; }));
  waiters.Release();
  REQUIRE(called == static_cast<int>(StartWaiters::kMaxWaiters));
  waiters.Release();
  REQUIRE(called == static_cast<int>(StartWaiters::kMaxWaiters));
}
