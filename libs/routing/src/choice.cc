#include "turmeric/routing/choice.h"

#include <algorithm>
#include <array>
#include <functional>
#include <limits>

#include "turmeric/balancing/choice.h"
#include "turmeric/balancing/expected_time.h"

namespace turmeric::routing {

namespace {

/** Cost of reading a part that an engine does not hold, as a factor on the
 * reading time: the engine's other requests wait during the read. */
constexpr double kUncachedReadFactor = 2.0;
/** The same with small groups, whose engines hold more of the parts that their
 * requests need: with 2, requests wait longer at them than in large groups. */
constexpr double kSmallGroupReadFactor = 1.8;
/** Preference for the home engine of a session that is not in the prompt
 * memory, as a factor on the cost to read its parts: a new owner then sends
 * most sessions to the engines on which the previous owner has placed them. */
constexpr double kHomePreference = 0.5;
/** Least number of upstreams that serve the requests with one shared part; half
 * of the service's upstreams if that is more. Enough for a burst of its
 * requests, few enough that not every engine reads every part. */
constexpr size_t kMinGroupSize = 6;
/** With small groups, the service's upstreams over this, if that is more than
 * the least. Each engine of a group reads the part once. With a fifth, requests
 * wait longer for each other than with half of the upstreams. */
constexpr size_t kSmallGroupDivisor = 4;
/** Prompt parts that were not used for this long cost nothing to evict: the
 * requests of a session follow each other within a few seconds. */
constexpr std::chrono::seconds kPartReuse{8};
/** Waiting time in ms that each open request on an engine adds for a new
 * request: the duration of the engine's step grows a little with each open
 * request. */
constexpr double kWaitPerRequestMs = 2.0;

/** FNV-1a with a finaliser that spreads similar keys. */
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

/** @return time to read the prompts that wait at the engine, ms. If this
 * instance owns the placements, the placed requests include its own. */
double PromptWaitMs(const Upstream& u) {
  return std::max(u.pending_prompt_ms, u.placed_prompt_ms);
}

/** @return expected waiting time of a request, in ms. For requests without a
 * prompt, each open request adds its share of the measured latency. */
double LoadCost(const Upstream& u, const ChoiceRequest& request) {
  if (request.has_prompt) {
    return PromptWaitMs(u) +
           kWaitPerRequestMs * std::max(u.in_flight, u.placed);
  }
  const double busy =
      static_cast<double>(u.in_flight) / std::max(1, u.entry.slots);
  return (1.0 + busy) * std::max(1.0, u.latency_ms) * (1.0 + u.failure_rate);
}

}  // namespace

uint64_t RendezvousWeight(std::string_view key, std::string_view member) {
  return Hash(member, Hash(key, 0));
}

double UncachedPromptMs(const ChoiceRequest& request,
                        const Upstream& upstream) {
  const double all = request.shared_ms + request.session_ms;
  if (request.memory == nullptr) return all;
  const std::string& id = upstream.entry.id;
  if (!request.memory->Holds(id, request.shared_part)) return all;
  return request.memory->Holds(id, request.session_part) ? 0
                                                         : request.session_ms;
}

namespace {

/** The upstreams to choose from, and those with affinity to the request. */
struct Candidates {
  std::vector<UpstreamPtr> usable;
  std::vector<UpstreamPtr> group;  ///< Serve the shared part, by hashing.
  UpstreamPtr home;                ///< Serves the session, by hashing.
  bool session_held = false;       ///< The prompt memory has the session.
};

Candidates FindCandidates(std::span<const UpstreamPtr> upstreams,
                          const ChoiceRequest& request, Clock::time_point now) {
  Candidates found;
  std::vector<UpstreamPtr> avoided;
  for (const UpstreamPtr& u : upstreams) {
    if (!IsListed(*u, now) || Tried(request.tried, u->entry.id)) continue;
    if (!HasVersion(*u, request.version)) continue;
    if (request.admits && !request.admits(*u)) continue;
    const bool rests = IsResting(*u, now);
    if (rests && !request.for_peer) continue;
    const bool avoid =
        rests || IsRestingFromPeer(*u, now) || IsAvoided(*u, now);
    (avoid ? avoided : found.usable).push_back(u);
  }
  if (found.usable.empty()) found.usable = std::move(avoided);
  if (request.shared_part.empty()) return found;
  found.group = found.usable;
  const auto weight = [&](std::string_view key) {
    return [key](const UpstreamPtr& u) {
      return RendezvousWeight(key, u->entry.id);
    };
  };
  std::ranges::sort(found.group, std::ranges::greater(),
                    weight(request.shared_part));
  const size_t size = std::max(
      kMinGroupSize,
      found.group.size() / (request.small_groups ? kSmallGroupDivisor : 2));
  if (found.group.size() > size) found.group.resize(size);
  const auto home =
      std::ranges::max_element(found.group, {}, weight(request.session_part));
  if (home != found.group.end()) found.home = *home;
  return found;
}

/** @return true if a usable engine is expected to hold the session's part. */
bool IsSessionHeld(const Candidates& found, const ChoiceRequest& request) {
  return std::ranges::any_of(found.usable, [&](const UpstreamPtr& u) {
    return request.memory->Holds(u->entry.id, request.session_part);
  });
}

double ReadFactor(const ChoiceRequest& request) {
  return request.small_groups ? kSmallGroupReadFactor : kUncachedReadFactor;
}

double ReadCost(const Candidates& found, const ChoiceRequest& request,
                const UpstreamPtr& upstream) {
  if (request.memory != nullptr) {
    const double uncached_cost =
        ReadFactor(request) * UncachedPromptMs(request, *upstream);
    const bool may_hold = !found.session_held && upstream == found.home &&
                          PromptWaitMs(*upstream) == 0;
    if (!may_hold) return uncached_cost;
    return uncached_cost - kHomePreference * ReadFactor(request) *
                               (request.shared_ms + request.session_ms);
  }
  if (!found.home || upstream == found.home) return 0;
  const bool in_group = std::ranges::count(found.group, upstream) > 0;
  return ReadFactor(request) *
         (request.session_ms + (in_group ? 0 : request.shared_ms));
}

/** Cost of serving from another zone than the preferred one, ms. */
double ZoneCost(const ChoiceRequest& request, const Upstream& upstream) {
  const bool elsewhere =
      !request.zone.empty() && upstream.entry.zone != request.zone;
  return elsewhere ? request.zone_cost_ms : 0;
}

/** @return the choice by expected time, or nullopt if the upstreams are not
 * known to be uneven. */
std::optional<UpstreamPtr> ChooseIfUneven(std::span<const UpstreamPtr> usable,
                                          const ChoiceRequest& request,
                                          Clock::time_point now) {
  std::vector<balancing::UpstreamState> states;
  states.reserve(usable.size());
  for (const UpstreamPtr& u : usable) {
    states.push_back({.load = &u->load, .slots = u->entry.slots});
  }
  if (!balancing::IsUneven(states, now)) return std::nullopt;
  const balancing::ServiceMean mean = balancing::MeanOf(states, now);
  std::vector<balancing::Candidate> candidates;
  candidates.reserve(usable.size());
  for (size_t i = 0; i < usable.size(); ++i) {
    const Upstream& u = *usable[i];
    const double failures = 1.0 + u.failure_rate;
    const double zone_ms = ZoneCost(request, u);
    candidates.push_back(
        {.expected_ms =
             balancing::ExpectedTime(states[i], mean, 1.0, now) * failures +
             zone_ms,
         .service_ms =
             balancing::ServiceTime(states[i], mean, 1.0, now) * failures +
             zone_ms,
         .slots = u.entry.slots,
         .sampled_at = u.load.speed().sampled_at()});
  }
  const auto chosen =
      balancing::ChooseByExpectedTime(candidates, *request.draw, now);
  return chosen ? usable[*chosen] : nullptr;
}

/** Leaves the engines with room for the request, or those with the most room if
 * none has any. */
void KeepThoseWithRoom(std::vector<UpstreamPtr>& usable,
                       const RoomCriteria& memory) {
  if (memory.room == nullptr || usable.empty()) return;
  const auto lacks_room = [&](const UpstreamPtr& u) {
    return !memory.room->Fits(u->entry.id, memory.demand, memory.capacity);
  };
  if (!std::ranges::all_of(usable, lacks_room)) {
    std::erase_if(usable, lacks_room);
    return;
  }
  const auto needed = [&](const UpstreamPtr& u) {
    return memory.room->Promised(u->entry.id) +
           memory.room->Added(u->entry.id, memory.demand);
  };
  const int64_t least = needed(*std::ranges::min_element(usable, {}, needed));
  std::erase_if(usable,
                [&](const UpstreamPtr& u) { return needed(u) > least; });
}

/** @return time to read the parts again that the request would evict, ms. */
double EvictionCost(const ChoiceRequest& request, const Upstream& upstream,
                    Clock::time_point now) {
  const RoomCriteria& memory = request.memory_use;
  if (memory.room == nullptr || request.memory == nullptr) return 0;
  const std::string& id = upstream.entry.id;
  const engines::TokenDemand& demand = memory.demand;
  const std::array kept = {demand.shared_part, demand.session_part};
  const int64_t parts_limit =
      memory.capacity - memory.room->Own(id) - demand.own_tokens;
  const auto evicted = [&](int64_t added) {
    return request.memory->EvictedTokens(id, kept, added, parts_limit,
                                         now - kPartReuse);
  };
  // Most engines would evict nothing even if they held neither part.
  if (evicted(demand.shared_tokens + demand.session_tokens) == 0) return 0;
  int64_t added = 0;
  if (!request.memory->Holds(id, demand.shared_part)) {
    added += demand.shared_tokens;
  }
  if (!request.memory->Holds(id, demand.session_part)) {
    added += demand.session_tokens;
  }
  return memory.ms_per_token * static_cast<double>(evicted(added));
}

}  // namespace

UpstreamPtr HomeUpstream(std::span<const UpstreamPtr> upstreams,
                         const ChoiceRequest& request, Clock::time_point now) {
  return FindCandidates(upstreams, request, now).home;
}

UpstreamPtr ChooseByFingerprint(std::span<const UpstreamPtr> upstreams,
                                std::string_view work,
                                const ChoiceRequest& request,
                                Clock::time_point now) {
  const Candidates found = FindCandidates(upstreams, request, now);
  const auto best =
      std::ranges::max_element(found.usable, {}, [work](const UpstreamPtr& u) {
        return RendezvousWeight(work, u->entry.id);
      });
  return best == found.usable.end() ? nullptr : *best;
}

UpstreamPtr ChooseUpstream(std::span<const UpstreamPtr> upstreams,
                           const ChoiceRequest& request,
                           Clock::time_point now) {
  Candidates found = FindCandidates(upstreams, request, now);
  if (request.draw && !request.has_prompt) {
    if (const auto chosen = ChooseIfUneven(found.usable, request, now)) {
      return *chosen;
    }
  }
  KeepThoseWithRoom(found.usable, request.memory_use);
  if (request.memory != nullptr) {
    found.session_held = IsSessionHeld(found, request);
  }
  UpstreamPtr best;
  double best_cost = std::numeric_limits<double>::max();
  uint64_t best_tie = 0;
  for (const UpstreamPtr& u : found.usable) {
    const double cost = LoadCost(*u, request) + ReadCost(found, request, u) +
                        EvictionCost(request, *u, now) + ZoneCost(request, *u);
    // Breaks ties by a hash that changes with the load, not by list order.
    const uint64_t tie =
        RendezvousWeight(std::to_string(u->in_flight), u->entry.id);
    if (cost < best_cost || (cost == best_cost && tie > best_tie)) {
      best = u;
      best_cost = cost;
      best_tie = tie;
    }
  }
  return best;
}

}  // namespace turmeric::routing
