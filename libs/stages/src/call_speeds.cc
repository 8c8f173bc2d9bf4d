#include "turmeric/stages/call_speeds.h"

#include <algorithm>
#include <utility>

namespace turmeric::stages {

using routing::Upstream;
using routing::UpstreamPtr;

namespace {

/** Bounds of the factor: pieces are planned with a call of up to four times the
 * usual duration, and calls are abandoned after five times of it. */
constexpr double kMinFactor = 0.25;
constexpr double kMaxFactor = 4.0;

balancing::UpstreamState StateOf(const Upstream& upstream) {
  return {.load = &upstream.load, .slots = upstream.entry.slots};
}

}  // namespace

CallSpeeds::CallSpeeds(std::span<const UpstreamPtr> upstreams, bool enabled,
                       routing::Clock::time_point now)
    : now_(now) {
  if (!enabled) return;
  std::vector<balancing::UpstreamState> states;
  states.reserve(upstreams.size());
  for (const UpstreamPtr& u : upstreams) states.push_back(StateOf(*u));
  uneven_ = balancing::IsUneven(states, now);
  mean_ = balancing::MeanOf(states, now);
}

double CallSpeeds::Factor(const Upstream& upstream) const {
  if (!uneven_) return 1;
  return std::clamp(
      balancing::ServiceTime(StateOf(upstream), mean_, 1.0, now_) /
          mean_.service_ms,
      kMinFactor, kMaxFactor);
}

void CallSpeeds::Sort(std::vector<UpstreamPtr>& free) const {
  std::ranges::sort(free, {}, [this](const UpstreamPtr& u) {
    return std::pair(uneven_ ? Factor(*u) : u->latency_ms, u->entry.id);
  });
}

}  // namespace turmeric::stages
