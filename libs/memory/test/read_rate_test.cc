#include "turmeric/memory/read_rate.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::memory::ReadRate;

// Guards against callers that are cut off although they have only just begun to
// read slowly, or were idle between two answers.
TEST_CASE("a read rate is known after bytes have waited for the window") {
  const ReadRate::Clock::time_point start{};
  ReadRate rate;
  for (int i = 0; i < 10; ++i) {
    rate.Sample(1000 + 5 * static_cast<uint64_t>(i), true, start + i * 1s);
    REQUIRE_FALSE(rate.rate());
  }
  rate.Sample(1050, true, start + 10s);
  REQUIRE(rate.rate() == 5.0);
  rate.Sample(2050, true, start + 11s);
  REQUIRE(*rate.rate() > 100.0);
  rate.Sample(2050, false, start + 12s);
  REQUIRE_FALSE(rate.rate());
  rate.Sample(2050, true, start + 13s);
  REQUIRE_FALSE(rate.rate());
}
