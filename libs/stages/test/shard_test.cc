#include "turmeric/stages/shard.h"

#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

using turmeric::routing::Upstream;
using turmeric::routing::UpstreamPtr;
using turmeric::stages::ParseShard;
using turmeric::stages::Shard;
using turmeric::stages::ShardName;
using turmeric::stages::UpstreamsOfShard;

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

// Story: two instances list a service's upstreams in different orders. If they
// dealt them to shards differently, both owners would send calls to the same
// upstream, and callers would wait for refused work.
TEST_CASE("every instance deals the upstreams of a service alike") {
  std::vector<UpstreamPtr> upstreams;
  for (int i = 0; i < 17; ++i) {
    auto upstream = std::make_shared<Upstream>();
    upstream->entry.id = "i-" + std::to_string((i * 7) % 17);
    upstreams.push_back(std::move(upstream));
  }
  std::vector<UpstreamPtr> reversed(upstreams.rbegin(), upstreams.rend());
  std::set<UpstreamPtr> dealt;
  for (size_t index = 0; index < 3; ++index) {
    const Shard shard{"portal", index, 3};
    const auto own = UpstreamsOfShard(shard, upstreams);
    REQUIRE(own == UpstreamsOfShard(shard, reversed));
    REQUIRE(own.size() >= 5);
    dealt.insert(own.begin(), own.end());
  }
  REQUIRE(dealt.size() == 17);
}
