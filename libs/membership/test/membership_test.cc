#include "turmeric/membership/membership.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "details/codec.h"
#include "fake_network.h"

namespace turmeric::membership {
using turmeric::membership::testing::FakeNetwork;

namespace {

/** A settled fleet of `n`. */
FakeNetwork Fleet(int n, uint64_t seed = 1) {
  FakeNetwork net(seed);
  for (int i = 0; i < n; ++i) net.Start(i, 100, n);
  net.Run(30000);
  return net;
}

}  // namespace

TEST_CASE("a fleet finds itself from the store's list") {
  FakeNetwork net = Fleet(8);
  CHECK(net.Agreeing(8) == 8);
}

TEST_CASE("a killed instance is known dead everywhere within seconds") {
  // An instance is killed. While others count it, each organisation's share
  // of its limit per instance is too small.
  FakeNetwork net = Fleet(8);
  net.nodes.erase(3);
  net.Run(15000);
  CHECK(net.Agreeing(7) == 7);
}

TEST_CASE("a lossy network does not make live instances dead") {
  // A fifth of all datagrams is lost. Single lost probes must not count
  // instances out: others are asked, and a suspect may object.
  FakeNetwork net = Fleet(8);
  net.loss = 0.2;
  int worst = 8;
  for (int s = 0; s < 120; ++s) {
    net.Run(1000);
    worst = std::min(worst, net.Agreeing(8));
  }
  CHECK(worst == 8);
}

TEST_CASE("a paused instance comes back as itself") {
  // An instance freezes for 20 s; the others bury it. When it wakes it hears
  // so, raises its incarnation, and is counted again.
  FakeNetwork net = Fleet(6);
  net.paused[2] = true;
  net.Run(20000);
  CHECK(net.Agreeing(5) == 5);
  net.paused[2] = false;
  net.Run(30000);
  CHECK(net.Agreeing(6) == 6);
}

TEST_CASE("a restarted instance is counted even if its clock went back") {
  // Instances take the time as first incarnation. The new one's clock is
  // behind the old one's, so its news looks old to everybody.
  FakeNetwork net = Fleet(6);
  net.nodes.erase(4);
  net.Run(15000);
  net.Start(4, 50, 6);
  net.Run(30000);
  CHECK(net.Agreeing(6) == 6);
}

TEST_CASE("the halves of a partition find each other again") {
  // Two regions lose each other for minutes: each half forgets the other.
  // After the cut nobody in one half knows an address in the other, except
  // from the store's list.
  FakeNetwork net = Fleet(8);
  net.cut = [](int a, int b) { return (a < 4) != (b < 4); };
  net.Run(180000);
  CHECK(net.Agreeing(4) == 8);
  net.cut = nullptr;
  net.Run(60000);
  CHECK(net.Agreeing(8) == 8);
}

TEST_CASE("an instance that leaves is counted out at once") {
  FakeNetwork net = Fleet(8);
  net.Deliver(5, net.nodes[5]->Leave());
  net.nodes.erase(5);
  net.Run(2000);
  CHECK(net.Agreeing(7) == 7);
}

TEST_CASE("after any faults the fleet agrees on who is there") {
  // Random kills, restarts (with clocks ahead or behind), pauses, cuts and
  // losses; once they end, everyone must count exactly the instances there.
  rc::prop("converges", [](std::vector<uint8_t> script, uint8_t seed) {
    constexpr int kSize = 6;
    FakeNetwork net(seed + 1u);
    for (int i = 0; i < kSize; ++i) net.Start(i, 100, kSize);
    if (script.size() > 30) script.resize(30);
    for (const uint8_t step : script) {
      const int who = step % kSize;
      switch ((step >> 3) % 6) {
        case 0:
          net.nodes.erase(who);
          break;
        case 1:
          net.Start(who, 60u + step, kSize);
          break;
        case 2:
          net.paused[who] = !net.paused[who];
          break;
        case 3:
          net.loss = (step >> 6) * 0.15;
          break;
        case 4:
          net.cut = [who](int a, int b) { return (a < who) != (b < who); };
          break;
        case 5:
          net.cut = nullptr;
          break;
      }
      net.Run(2500);
    }
    net.paused.clear();
    net.cut = nullptr;
    net.loss = 0;
    if (net.nodes.empty()) return;
    net.Run(150000);
    const int there = static_cast<int>(net.nodes.size());
    RC_ASSERT(net.Agreeing(there) == there);
  });
}

TEST_CASE("no datagram can upset an instance") {
  // The port takes datagrams from anyone: noise, cut and altered messages.
  rc::prop("garbage is dropped or harmless", [](std::vector<uint8_t> noise,
                                                uint16_t at, uint8_t value) {
    Membership node(FakeNetwork::Named(1), {}, 1);
    const auto now = Membership::Clock::time_point() + std::chrono::hours(1);
    (void)node.OnDatagram(noise, now);
    details::Message m;
    m.from = FakeNetwork::Named(2);
    m.updates = {FakeNetwork::Named(3), FakeNetwork::Named(1)};
    auto bytes = details::Encode(m);
    bytes[at % bytes.size()] = value;
    (void)node.OnDatagram(bytes, now);
    bytes.resize(at % bytes.size());
    (void)node.OnDatagram(bytes, now);
    RC_ASSERT(node.live_count() <= 4);
  });
}

}  // namespace turmeric::membership
