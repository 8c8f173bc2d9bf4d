#include "turmeric/routing/choice.h"

#include <algorithm>
#include <limits>

namespace turmeric::routing {

namespace {

/** Share of a prompt that an upstream with the cached prefix still reads,
 * estimated: the request's own part of a typical prompt. */
constexpr double kColdShare = 0.6;
/** Waiting that one open request adds for a new one on an engine, ms: the
 * engine's step grows a little with each. */
constexpr double kInFlightMs = 2.0;

/** FNV-1a, then a finaliser so that similar keys spread. */
uint64_t Hash(std::string_view text, uint64_t seed) {
  uint64_t h = 1469598103934665603ULL ^ seed;
  for (const char c : text) {
    h ^= static_cast<unsigned char>(c);
    h *= 1099511628211ULL;
  }
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdULL;
  h ^= h >> 33;
  return h;
}

bool Tried(std::span<const std::string> tried, const std::string& id) {
  return std::ranges::find(tried, id) != tried.end();
}

/** Waiting a request would meet, in ms; also used for plain services, where
 * an open request costs its share of the measured latency. */
double LoadCost(const Upstream& u, const ChoiceRequest& request) {
  if (request.prompt_ms > 0) {
    return u.pending_prompt_ms + kInFlightMs * u.in_flight;
  }
  const double busy =
      static_cast<double>(u.in_flight) / std::max(1, u.entry.slots);
  return (1.0 + busy) * std::max(1.0, u.latency_ms) * (1.0 + u.failure_rate);
}

}  // namespace

uint64_t RendezvousWeight(std::string_view key, std::string_view member) {
  return Hash(member, Hash(key, 0));
}

UpstreamPtr ChooseUpstream(std::span<const UpstreamPtr> upstreams,
                           const ChoiceRequest& request,
                           Clock::time_point now) {
  std::vector<UpstreamPtr> usable;
  std::vector<UpstreamPtr> avoided;
  for (const UpstreamPtr& u : upstreams) {
    if (!IsListed(*u, now) || Tried(request.tried, u->entry.id)) continue;
    (IsAvoided(*u, now) ? avoided : usable).push_back(u);
  }
  if (usable.empty()) usable = std::move(avoided);
  if (usable.empty()) return nullptr;
  const UpstreamPtr* home = nullptr;
  uint64_t best_weight = 0;
  if (!request.affinity_key.empty()) {
    // Homes are drawn within the preferred zone where there is one.
    for (const bool same_zone : {true, false}) {
      for (const UpstreamPtr& u : usable) {
        if (same_zone && !request.zone.empty() &&
            u->entry.zone != request.zone) {
          continue;
        }
        const uint64_t w = RendezvousWeight(request.affinity_key, u->entry.id);
        if (home == nullptr || w > best_weight) {
          home = &u;
          best_weight = w;
        }
      }
      if (home != nullptr) break;
    }
  }
  const UpstreamPtr* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  uint64_t best_tie = 0;
  for (const UpstreamPtr& u : usable) {
    double cost = LoadCost(*u, request);
    if (home != nullptr && u != *home) cost += kColdShare * request.prompt_ms;
    if (!request.zone.empty() && u->entry.zone != request.zone) {
      cost += request.zone_cost_ms;
    }
    // Ties are broken differently for each upstream history, not by order.
    const uint64_t tie =
        RendezvousWeight(std::to_string(u->in_flight), u->entry.id);
    if (cost < best_cost || (cost == best_cost && tie > best_tie)) {
      best = &u;
      best_cost = cost;
      best_tie = tie;
    }
  }
  return *best;
}

}  // namespace turmeric::routing
