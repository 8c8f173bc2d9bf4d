#include "turmeric/quarantine/request_traits.h"

#include <catch2/catch.hpp>
#include <string>

using turmeric::quarantine::JoinParts;
using turmeric::quarantine::PartKey;

// Guards against log lines and objects that a caller's part id breaks up or
// inflates.
TEST_CASE("keys of parts contain usual ids as they are, others hashed") {
  REQUIRE(PartKey("llm", "5c1e07a2") == "llm/5c1e07a2");
  REQUIRE(PartKey("", "5c1e07a2") == "/5c1e07a2");
  const std::string hashed = PartKey("llm", "5c1e status=200");
  REQUIRE(hashed.size() == std::string("llm/").size() + 16);
  REQUIRE(hashed == PartKey("llm", "5c1e status=200"));
  REQUIRE(hashed != PartKey("llm", "5c1e status=201"));
  REQUIRE(PartKey("llm", std::string(200, 'a')).size() < 30);
  REQUIRE(JoinParts({"llm/a", "llm/b"}) == "llm/a+llm/b");
  REQUIRE(JoinParts({}) == "-");
}
