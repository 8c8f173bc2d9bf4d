#include "turmeric/gateway/upstream_pool.h"

#include <algorithm>
#include <utility>

namespace turmeric::gateway {

namespace {

/** @return true if `a` should receive the next call rather than `b`. */
bool IsLessLoaded(const UpstreamState& a, const UpstreamState& b,
                  RoutingPolicy policy, Clock::time_point now) {
  const double queue_a = a.inflight + a.reported_depth;
  const double queue_b = b.inflight + b.reported_depth;
  // Latencies can be compared only if both upstreams have a sample.
  if (policy != RoutingPolicy::kPowerOfTwoEwma || a.latency_ms == 0 ||
      b.latency_ms == 0) {
    return queue_a < queue_b;
  }
  return (queue_a + 1) * DecayedLatencyMs(a, now) <
         (queue_b + 1) * DecayedLatencyMs(b, now);
}

}  // namespace

void UpstreamPool::SetMembers(std::vector<UpstreamRef> members) {
  members_ = std::move(members);
}

UpstreamRef UpstreamPool::Pick(RoutingPolicy policy, std::mt19937_64& rng,
                               Clock::time_point now,
                               const UpstreamState* exclude) {
  // Guard: a leaving upstream must receive no new calls; it answers them with
  // 503 and cuts streams when it stops. Every new call is selected here.
  auto collect = [&](auto accept) {
    eligible_.clear();
    for (const UpstreamRef& m : members_) {
      if (!IsLeaving(*m, now) && accept(m)) eligible_.push_back(&m);
    }
    return !eligible_.empty();
  };
  if (!collect([&](const UpstreamRef& m) {
        return m.get() != exclude && !IsEjected(*m, now);
      }) &&
      !collect([&](const UpstreamRef& m) { return m.get() != exclude; }) &&
      !collect([](const UpstreamRef&) { return true; })) {
    return nullptr;
  }
  if (policy == RoutingPolicy::kRoundRobin || eligible_.size() == 1) {
    return *eligible_[next_round_robin_++ % eligible_.size()];
  }
  const size_t first = rng() % eligible_.size();
  const size_t step = 1 + rng() % (eligible_.size() - 1);
  const UpstreamRef& a = *eligible_[first];
  const UpstreamRef& b = *eligible_[(first + step) % eligible_.size()];
  return IsLessLoaded(*b, *a, policy, now) ? b : a;
}

}  // namespace turmeric::gateway
