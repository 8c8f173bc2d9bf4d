#include "turmeric/config/settings_layer.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

using turmeric::config::ParseLayer;
using turmeric::config::RenderLayer;
using turmeric::utils::Errc;

TEST_CASE("a rendered layer parses back to itself") {
  rc::prop("render . parse is identity", [](uint16_t deadline, bool idem) {
    const std::string text =
        "deadline_ms = " + std::to_string(deadline % 60000 + 1) +
        "\nstage.generate.idempotent = " + (idem ? "true" : "false") + "\n";
    auto layer = ParseLayer(text);
    RC_ASSERT(layer.has_value());
    auto again = ParseLayer(RenderLayer(layer.value()));
    RC_ASSERT(again.has_value());
    RC_ASSERT(again.value().entries == layer.value().entries);
  });
}

TEST_CASE("invalid settings are refused with an error that names the line") {
  // An operator misspells a key or states a deadline of "6s". The whole level
  // must be refused with an error that names the line.
  auto unknown = ParseLayer("deadline_ms = 100\ndeadlin_ms = 5\n");
  REQUIRE_FALSE(unknown);
  CHECK(unknown.error().code == Errc::kConfigUnknownKey);
  CHECK(unknown.error().detail.find("line 2") != std::string::npos);
  auto bad = ParseLayer("deadline_ms = 6s");
  REQUIRE_FALSE(bad);
  CHECK(bad.error().code == Errc::kConfigInvalid);
  CHECK_FALSE(ParseLayer("pool.llm.upstreams = localhost:80"));
}

TEST_CASE("a key stated twice keeps the later line") {
  auto layer = ParseLayer("max_inflight = 1\nmax_inflight = 2\n");
  REQUIRE(layer);
  REQUIRE(layer.value().entries.size() == 1);
  CHECK(layer.value().entries[0].second == "2");
}
