#include "turmeric/entry/upstream_criteria.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "turmeric/entry/wire_format.h"

using turmeric::entry::CallerRequest;
using turmeric::entry::ToChoice;
using turmeric::entry::ToPlacement;
using turmeric::entry::WantedUpstream;

namespace {

CallerRequest Digest() {
  CallerRequest request;
  request.prompt_tokens = 3800;
  request.prompt = {{"shared", 1900}, {"session", 1140}, {"own", 760}};
  return request;
}

}  // namespace

TEST_CASE("engines are chosen by the parts that a prompt shares") {
  const CallerRequest request = Digest();
  const auto order = ToPlacement({.request = request,
                                  .tried = {},
                                  .own_zone = "zone-a",
                                  .results_zone = {}});
  const auto choice = ToChoice(order);
  REQUIRE(order.prompt_tokens == 3800);
  REQUIRE(choice.has_prompt);
  REQUIRE(choice.shared_part == "shared");
  REQUIRE(choice.session_part == "session");
  REQUIRE(choice.shared_ms == Approx(50));
  REQUIRE(choice.session_ms == Approx(30));
  REQUIRE(choice.zone.empty());
}

TEST_CASE("a prompt of one part is its own session") {
  CallerRequest request = Digest();
  request.prompt = {{"only", 100}};
  const auto order = ToPlacement({.request = request});
  const auto choice = ToChoice(order);
  REQUIRE(choice.session_part == "only");
  REQUIRE(choice.session_ms == 0);
}

TEST_CASE("large results draw a request to their zone, others stay at home") {
  const CallerRequest request = Digest();
  const std::vector<std::string> tried = {"i-1"};
  const auto drawn_order = ToPlacement({.request = request,
                                        .tried = tried,
                                        .own_zone = "zone-a",
                                        .results_zone = "zone-b"});
  const auto drawn = ToChoice(drawn_order);
  REQUIRE(drawn.zone == "zone-b");
  REQUIRE(drawn.tried.size() == 1);
  const auto plain = ToChoice(WantedUpstream{.request = request,
                                             .tried = tried,
                                             .own_zone = "zone-a",
                                             .results_zone = {}});
  REQUIRE(plain.zone == "zone-a");
  REQUIRE(plain.tried.size() == 1);
  REQUIRE(plain.zone_cost_ms < drawn.zone_cost_ms);
}
