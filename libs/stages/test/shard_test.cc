#include "turmeric/stages/shard.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

using turmeric::stages::ParseShard;
using turmeric::stages::ShardName;

TEST_CASE("a small service is one shard under its own name") {
  REQUIRE(ShardName("portal", "r1", 5) == "portal");
  REQUIRE(ShardName("portal", "r1", 0) == "portal");
  REQUIRE(ParseShard("portal").count == 1);
}

TEST_CASE("a large service is spread, a request's pieces stay together") {
  std::set<std::string> names;
  for (int i = 0; i < 200; ++i) {
    const std::string id = "r" + std::to_string(i);
    names.insert(ShardName("registry", id, 15));
    REQUIRE(ShardName("registry", id, 15) == ShardName("registry", id, 15));
  }
  REQUIRE(names.size() == 3);
  for (const std::string& name : names) {
    const auto shard = ParseShard(name);
    REQUIRE(shard.service == "registry");
    REQUIRE(shard.count == 3);
    REQUIRE(shard.index < 3);
  }
}

TEST_CASE("a malformed name is the whole service") {
  REQUIRE(ParseShard("a|5|3").count == 1);
  REQUIRE(ParseShard("a|x").count == 1);
  REQUIRE(ParseShard("a|1|0").service == "a");
}
