#include "turmeric/limits/stated_limit.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using turmeric::limits::Clock;
using turmeric::limits::LimitStatement;
using turmeric::limits::StatedLimit;

namespace {

constexpr Clock::time_point kStart{1h};

LimitStatement Stated(std::optional<double> per_s, milliseconds sent,
                      milliseconds received) {
  return {.per_s = per_s,
          .sent_at = kStart + sent,
          .received_at = kStart + received};
}

}  // namespace

TEST_CASE("no limit is in force until an answer states one") {
  StatedLimit limit;
  REQUIRE_FALSE(limit.Apply(Stated(std::nullopt, 0ms, 10ms)));
  REQUIRE_FALSE(limit.per_s());
  REQUIRE(limit.Apply(Stated(4, 20ms, 30ms)));
  REQUIRE(limit.per_s() == 4.0);
}

TEST_CASE("a later statement replaces the limit, a repeated one does not") {
  StatedLimit limit;
  REQUIRE(limit.Apply(Stated(4, 0ms, 10ms)));
  REQUIRE_FALSE(limit.Apply(Stated(4, 20ms, 30ms)));
  REQUIRE(limit.Apply(Stated(1, 40ms, 50ms)));
  REQUIRE(limit.Apply(Stated(8, 60ms, 70ms)));
  REQUIRE(limit.Apply(Stated(std::nullopt, 80ms, 90ms)));
  REQUIRE_FALSE(limit.per_s());
}

// Guards against an answer made before the limit, received after it, that ends
// the limit although the upstream still states it.
TEST_CASE("an answer that may have been made earlier does not raise a limit") {
  StatedLimit limit;
  REQUIRE(limit.Apply(Stated(1, 0ms, 100ms)));
  REQUIRE_FALSE(limit.Apply(Stated(std::nullopt, 50ms, 400ms)));
  REQUIRE_FALSE(limit.Apply(Stated(4, 90ms, 300ms)));
  REQUIRE(limit.per_s() == 1.0);
  REQUIRE(limit.Apply(Stated(std::nullopt, 101ms, 120ms)));
}

TEST_CASE("of two statements in unknown order the stricter one is in force") {
  StatedLimit limit;
  REQUIRE(limit.Apply(Stated(4, 0ms, 100ms)));
  REQUIRE(limit.Apply(Stated(1, 50ms, 150ms)));
  REQUIRE(limit.per_s() == 1.0);
}

// Guards against a limit that an instance without connections to the others
// still states after the upstream has withdrawn it.
TEST_CASE("a statement from before the end of the limit is ignored") {
  StatedLimit limit;
  REQUIRE(limit.Apply(Stated(1, 0ms, 100ms)));
  REQUIRE(limit.Apply(Stated(std::nullopt, 200ms, 210ms)));
  REQUIRE_FALSE(limit.Apply(Stated(1, 90ms, 190ms)));
  REQUIRE_FALSE(limit.per_s());
}

TEST_CASE("a limit of zero is a limit") {
  StatedLimit limit;
  REQUIRE(limit.Apply(Stated(0, 0ms, 10ms)));
  REQUIRE(limit.per_s() == 0.0);
}
