#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "turmeric/membership/membership.h"

namespace turmeric::membership::testing {

/** Memberships of several instances, connected by a lossy network in virtual
 * time. */
class FakeNetwork {
 public:
  using Clock = Membership::Clock;

  explicit FakeNetwork(uint64_t seed) : rng_(seed) {}

  /** Starts or restarts instance `i`. Its roster consists of the instances 0 to
   * `roster_size` - 1. */
  void Start(int i, uint64_t incarnation, int roster_size) {
    Member self = MakeMember(i);
    self.incarnation = incarnation;
    auto node = std::make_unique<Membership>(self, options, rng_());
    std::vector<Member> list;
    for (int c = 0; c < roster_size; ++c) list.push_back(MakeMember(c));
    node->SetRoster(list, now);
    nodes[i] = std::move(node);
  }
  /** Runs for `ms` of virtual time, ticking every 100 ms. */
  void Run(int ms) {
    for (int t = 0; t < ms; t += 100) {
      now += std::chrono::milliseconds(100);
      for (auto& [i, node] : nodes) {
        if (!paused[i]) Deliver(i, node->Tick(now));
      }
    }
  }
  /** Delivers datagrams of instance `from` and all datagrams sent in response,
   * depth first. */
  void Deliver(int from, const std::vector<Datagram>& datagrams) {
    for (const Datagram& d : datagrams) {
      const int to = d.to.port;
      bytes += static_cast<int64_t>(d.bytes.size());
      ++messages;
      auto it = nodes.find(to);
      if (it == nodes.end() || paused[to] ||
          (partition && partition(from, to)) ||
          std::uniform_real_distribution<>(0, 1)(rng_) < loss) {
        continue;
      }
      Deliver(to, it->second->OnDatagram(d.bytes, now));
    }
  }
  static Member MakeMember(int i) {
    return {"entry-" + std::to_string(i),
            "zone-" + std::to_string(i % 8),
            {0x7f000001, static_cast<uint16_t>(i)},
            0,
            MemberState::kAlive};
  }
  /** @return the number of instances that count exactly `n` live instances. */
  int Agreeing(int n) const {
    int agreeing = 0;
    for (const auto& [i, node] : nodes) agreeing += node->live_count() == n;
    return agreeing;
  }

  MembershipOptions options;
  std::map<int, std::unique_ptr<Membership>> nodes;
  std::map<int, bool> paused;
  std::function<bool(int, int)> partition;  ///< (from, to): true drops.
  double loss = 0;  ///< Share of datagrams that are lost.
  Clock::time_point now = Clock::time_point() + std::chrono::hours(1);
  int64_t bytes = 0;
  int64_t messages = 0;

 private:
  std::mt19937_64 rng_;
};

}  // namespace turmeric::membership::testing
