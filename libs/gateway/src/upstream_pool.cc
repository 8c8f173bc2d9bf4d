#include "turmeric/gateway/upstream_pool.h"

#include <algorithm>

namespace turmeric::gateway {

void UpstreamPool::SetAddresses(std::span<const std::string> addresses) {
  std::vector<UpstreamState> next;
  next.reserve(addresses.size());
  std::ranges::transform(
      addresses, std::back_inserter(next), [this](const std::string& a) {
        auto it = std::ranges::find(upstreams_, a, &UpstreamState::address);
        return it != upstreams_.end() ? *it : UpstreamState{a};
      });
  upstreams_ = std::move(next);
}

int UpstreamPool::Pick(RoutingPolicy policy, std::mt19937_64& rng,
                       int exclude) {
  std::vector<int> eligible;
  for (int i = 0; i < static_cast<int>(upstreams_.size()); ++i) {
    // Guard: a leaving upstream must get no new work. It shows as 503s and
    // cut streams when it finally goes; skipping it here holds because every
    // new call passes through Pick.
    if (!upstreams_[i].leaving && i != exclude) eligible.push_back(i);
  }
  if (eligible.empty()) return -1;
  if (policy == RoutingPolicy::kRoundRobin) {
    return eligible[next_++ % eligible.size()];
  }
  std::uniform_int_distribution<size_t> pick(0, eligible.size() - 1);
  const int a = eligible[pick(rng)];
  const int b = eligible[pick(rng)];
  auto load = [this](int i) {
    return upstreams_[i].inflight + upstreams_[i].reported_depth;
  };
  return load(b) < load(a) ? b : a;
}

void UpstreamPool::OnSend(int index) {
  ++upstreams_[index].inflight;
  ++upstreams_[index].picks;
}

void UpstreamPool::OnAnswer(int index, int reported_depth, bool leaving) {
  UpstreamState& u = upstreams_[index];
  u.inflight = std::max(0, u.inflight - 1);
  if (reported_depth >= 0) u.reported_depth = reported_depth;
  if (leaving) u.leaving = true;
}

void UpstreamPool::SetLeaving(std::string_view address, bool leaving) {
  auto it = std::ranges::find(upstreams_, address, &UpstreamState::address);
  if (it != upstreams_.end()) it->leaving = leaving;
}

}  // namespace turmeric::gateway
