#include "turmeric/membership/membership.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "details/codec.h"
#include "fake_network.h"

namespace turmeric::membership {
using turmeric::membership::testing::FakeNetwork;

namespace {

/** @return a fleet of `n` instances after 30 s of virtual time. */
FakeNetwork Fleet(int n, uint64_t seed = 1) {
  FakeNetwork net(seed);
  for (int i = 0; i < n; ++i) net.Start(i, 100, n);
  net.Run(30000);
  return net;
}

}  // namespace

TEST_CASE("a fleet agrees on its members from the store's list") {
  FakeNetwork net = Fleet(8);
  CHECK(net.Agreeing(8) == 8);
}

TEST_CASE("all instances count a killed instance as dead within seconds") {
  // While other instances count a killed one as live, the share of each
  // organisation's limit that an instance admits is too small.
  FakeNetwork net = Fleet(8);
  net.nodes.erase(3);
  net.Run(15000);
  CHECK(net.Agreeing(7) == 7);
}

TEST_CASE("a lossy network does not make live instances dead") {
  // A fifth of all datagrams is lost. Single lost probes must not make
  // instances dead: indirect probes are requested, and a suspect can refute
  // the suspicion.
  FakeNetwork net = Fleet(8);
  net.loss = 0.2;
  int worst = 8;
  for (int s = 0; s < 120; ++s) {
    net.Run(1000);
    worst = std::min(worst, net.Agreeing(8));
  }
  CHECK(worst == 8);
}

TEST_CASE("a paused instance is counted again after it resumes") {
  // An instance is paused for 20 s, and its peers declare it dead. After it
  // resumes it receives this state, raises its incarnation and is counted
  // again.
  FakeNetwork net = Fleet(6);
  net.paused[2] = true;
  net.Run(20000);
  CHECK(net.Agreeing(5) == 5);
  net.paused[2] = false;
  net.Run(30000);
  CHECK(net.Agreeing(6) == 6);
}

TEST_CASE("a restarted instance is counted even if its clock went back") {
  // Instances use the current time as their first incarnation. The clock of the
  // new process is behind the clock of the old process, so all peers treat
  // updates of the new process as old until it raises its incarnation.
  FakeNetwork net = Fleet(6);
  net.nodes.erase(4);
  net.Run(15000);
  net.Start(4, 50, 6);
  net.Run(30000);
  CHECK(net.Agreeing(6) == 6);
}

TEST_CASE("the sides of a partition reconnect after it ends") {
  // Two regions are partitioned for minutes, and each side declares the other
  // dead. After the partition an instance reaches the other side only through
  // the addresses in the store's list.
  FakeNetwork net = Fleet(8);
  net.partition = [](int a, int b) { return (a < 4) != (b < 4); };
  net.Run(180000);
  CHECK(net.Agreeing(4) == 8);
  net.partition = nullptr;
  net.Run(60000);
  CHECK(net.Agreeing(8) == 8);
}

TEST_CASE("a leaving instance is excluded from the count immediately") {
  FakeNetwork net = Fleet(8);
  net.Deliver(5, net.nodes[5]->Leave());
  net.nodes.erase(5);
  net.Run(2000);
  CHECK(net.Agreeing(7) == 7);
}

TEST_CASE("the fleet agrees on its members after any faults") {
  // Injects random kills, restarts (with clocks ahead or behind), pauses,
  // partitions and datagram losses. Once these faults end, every instance must
  // count exactly the running instances.
  rc::prop("converges", [](std::vector<uint8_t> script, uint8_t seed) {
    constexpr int kSize = 6;
    FakeNetwork net(seed + 1u);
    for (int i = 0; i < kSize; ++i) net.Start(i, 100, kSize);
    if (script.size() > 30) script.resize(30);
    for (const uint8_t step : script) {
      const int instance = step % kSize;
      switch ((step >> 3) % 6) {
        case 0:
          net.nodes.erase(instance);
          break;
        case 1:
          net.Start(instance, 60u + step, kSize);
          break;
        case 2:
          net.paused[instance] = !net.paused[instance];
          break;
        case 3:
          net.loss = (step >> 6) * 0.15;
          break;
        case 4:
          net.partition = [instance](int a, int b) {
            return (a < instance) != (b < instance);
          };
          break;
        case 5:
          net.partition = nullptr;
          break;
      }
      net.Run(2500);
    }
    net.paused.clear();
    net.partition = nullptr;
    net.loss = 0;
    if (net.nodes.empty()) return;
    net.Run(150000);
    const int running = static_cast<int>(net.nodes.size());
    RC_ASSERT(net.Agreeing(running) == running);
  });
}

TEST_CASE("invalid datagrams do not corrupt the membership") {
  // Any process can send datagrams to the port: random bytes, truncated and
  // altered messages.
  rc::prop(
      "invalid datagrams are dropped or harmless",
      [](std::vector<uint8_t> noise, uint16_t at, uint8_t value) {
        Membership node(FakeNetwork::MakeMember(1), {}, 1);
        const auto now =
            Membership::Clock::time_point() + std::chrono::hours(1);
        (void)node.OnDatagram(noise, now);
        details::Message m;
        m.from = FakeNetwork::MakeMember(2);
        m.updates = {FakeNetwork::MakeMember(3), FakeNetwork::MakeMember(1)};
        auto bytes = details::Encode(m);
        bytes[at % bytes.size()] = value;
        (void)node.OnDatagram(bytes, now);
        bytes.resize(at % bytes.size());
        (void)node.OnDatagram(bytes, now);
        RC_ASSERT(node.live_count() <= 4);
      });
}

}  // namespace turmeric::membership
