#include "turmeric/engines/output_estimate.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <limits>
#include <random>
#include <string>

using turmeric::engines::OutputEstimate;

TEST_CASE("output estimate: without streams, the hint or the maximum counts") {
  const OutputEstimate estimate;
  REQUIRE(estimate.Tokens("r", {.hinted = 200, .maximum = 1000}) == 200);
  REQUIRE(estimate.Tokens("r", {.hinted = 2000, .maximum = 1000}) == 1000);
  REQUIRE(estimate.Tokens("r", {.hinted = 0, .maximum = 1000}) == 1000);
  REQUIRE(estimate.Tokens("r", {}) == 0);
}

// Guards against reservations that are too small for half of the requests: the
// hint is right at the median only, and an event holds several tokens.
TEST_CASE("output estimate: four of five outputs are within the estimate") {
  OutputEstimate estimate;
  std::mt19937_64 random(5);
  std::lognormal_distribution<double> error(0, 0.6);
  int within = 0;
  constexpr int kStreams = 2000;
  constexpr int kTokensPerEvent = 8;
  for (int i = 0; i < kStreams; ++i) {
    const auto hinted = static_cast<int64_t>(200 + random() % 800);
    const auto tokens =
        static_cast<int64_t>(static_cast<double>(hinted) * error(random)) +
        kTokensPerEvent;
    const bool fits =
        estimate.Tokens("r", {.hinted = hinted, .maximum = 100'000}) >= tokens;
    if (fits) ++within;
    estimate.Note("r", {.events = tokens / kTokensPerEvent,
                        .tokens = std::nullopt,
                        .hinted = hinted});
  }
  REQUIRE(within > kStreams * 0.74);
  REQUIRE(within < kStreams * 0.86);
}

TEST_CASE("output estimate: stated tokens replace the assumed ones") {
  OutputEstimate estimate;
  for (int i = 0; i < 20; ++i) {
    estimate.Note("r", {.events = 100, .tokens = 300, .hinted = 100});
  }
  REQUIRE(estimate.Tokens("r", {.hinted = 100, .maximum = 1000}) == 300);
  REQUIRE(estimate.Tokens("r", {.hinted = 0, .maximum = 1000}) == 300);
  REQUIRE(estimate.Tokens("r", {.hinted = 100, .maximum = 150}) == 150);
  REQUIRE(estimate.Tokens("other", {.hinted = 100, .maximum = 150}) == 100);
}

TEST_CASE("output estimate: the ratio to the hint is bounded") {
  OutputEstimate estimate;
  for (int i = 0; i < 20; ++i) {
    estimate.Note("long", {.events = 1000, .tokens = 1000, .hinted = 1});
    estimate.Note("short", {.events = 1, .tokens = 1, .hinted = 1000});
  }
  REQUIRE(estimate.Tokens("long", {.hinted = 100, .maximum = 5000}) == 400);
  REQUIRE(estimate.Tokens("short", {.hinted = 100, .maximum = 5000}) == 25);
}

// Guards against bad input of callers and upstreams.
TEST_CASE("output estimate: implausible counts are ignored") {
  constexpr int64_t kHuge = std::numeric_limits<int64_t>::max();
  OutputEstimate estimate;
  for (int i = 0; i < 20; ++i) {
    estimate.Note("r", {.events = -1, .tokens = -1, .hinted = -1});
    estimate.Note("r", {.events = 0, .tokens = 0, .hinted = 0});
    estimate.Note("r", {.events = kHuge, .tokens = kHuge, .hinted = kHuge});
  }
  REQUIRE(estimate.Tokens("r", {.hinted = -7, .maximum = -7}) == 0);
  REQUIRE(estimate.Tokens("r", {.hinted = kHuge, .maximum = 500}) == 500);
  REQUIRE(estimate.Tokens("r", {.hinted = 70, .maximum = kHuge}) == 70);
}
