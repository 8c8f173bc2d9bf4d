#include "turmeric/entry/tunnel_peers.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::entry::Instances;
using turmeric::entry::TunnelPeer;
using turmeric::entry::TunnelPeers;
using turmeric::peer::ReachStatement;

namespace {

const auto kStart = TunnelPeers::Clock::time_point(1h);

/** @return instances a-0, a-1, b-0, b-1, c-0 and c-1 in the zones a, b and c.
 */
Instances Fleet() {
  Instances fleet;
  for (const std::string zone : {"a", "b", "c"}) {
    for (int i = 0; i < 2; ++i) {
      fleet[zone + "-" + std::to_string(i)] = {.address = "10.0.0.1:1",
                                               .tunnel_address = "10.0.0.1:2",
                                               .zone = zone};
    }
  }
  return fleet;
}

TunnelPeers PeersOf(TunnelPeers::IsUsable is_usable) {
  TunnelPeers peers("a-0", "a", std::move(is_usable));
  peers.SetInstances(Fleet());
  return peers;
}

const TunnelPeers::IsUsable kAll = [](const std::string&) { return true; };

}  // namespace

TEST_CASE("a tunnel leads through the zone of the instance or the upstream") {
  const TunnelPeers peers = PeersOf(kAll);
  CHECK(peers.Choose("a", 1, kStart).front().name == "a-1");
  for (int i = 0; i < 20; ++i) {
    const std::string name = peers.Choose("b", 1, kStart).front().name;
    CHECK((name.starts_with("a") || name.starts_with("b")));
  }
}

// Guards against one peer that gets the tunnels of most of its zone.
TEST_CASE("tunnels spread to other zones once those of a zone are many") {
  TunnelPeers peers = PeersOf(kAll);
  std::map<std::string, int> opened;
  for (int i = 0; i < 100; ++i) {
    const std::string name = peers.Choose("a", 1, kStart).front().name;
    peers.OnOpened(name);
    ++opened[name];
  }
  CHECK(opened.size() == 5);
  CHECK(opened["a-1"] <= 40);
}

// Guards against tunnels through instances that are partitioned themselves.
TEST_CASE("a partitioned peer is not chosen until it reaches upstreams again") {
  TunnelPeers peers = PeersOf(kAll);
  peers.OnStatement("a-1", ReachStatement::kPartitioned, kStart);
  const auto chosen = peers.Choose("a", 9, kStart + 2s);
  CHECK(chosen.size() == 4);
  CHECK(std::ranges::count(chosen, "a-1", &TunnelPeer::name) == 0);
  SECTION("it says so") {
    peers.OnStatement("a-1", ReachStatement::kNone, kStart + 2s);
    CHECK(peers.Choose("a", 9, kStart + 2s).size() == 4);
    peers.OnStatement("a-1", ReachStatement::kReaches, kStart + 2s);
    CHECK(peers.Choose("a", 9, kStart + 2s).size() == 5);
  }
  SECTION("its statement is not repeated") {
    CHECK(peers.Choose("a", 9, kStart + 3s).size() == 5);
  }
}

TEST_CASE("a peer that is unreachable or stopping is not chosen") {
  const TunnelPeers peers =
      PeersOf([](const std::string& name) { return name == "c-1"; });
  const auto chosen = peers.Choose("a", 9, kStart);
  REQUIRE(chosen.size() == 1);
  CHECK(chosen.front().name == "c-1");
}

TEST_CASE("a peer that did not answer is chosen only if no other is left") {
  TunnelPeers peers = PeersOf(kAll);
  peers.OnNoAnswer("a-1", kStart);
  CHECK(peers.Choose("a", 1, kStart).front().name != "a-1");
  CHECK(peers.Choose("a", 9, kStart).back().name == "a-1");
  CHECK(peers.Choose("a", 1, kStart + 2s).front().name == "a-1");
}

TEST_CASE("an instance that opens no tunnels is not chosen") {
  TunnelPeers peers("a-0", "a", kAll);
  Instances fleet = Fleet();
  for (auto& [name, info] : fleet) info.tunnel_address.clear();
  peers.SetInstances(fleet);
  CHECK(peers.Choose("a", 9, kStart).empty());
  CHECK_FALSE(peers.any());
}
