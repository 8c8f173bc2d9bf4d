#include "turmeric/routing/placement_tracker.h"

#include <utility>
#include <vector>

namespace turmeric::routing {

namespace {

/** Age above which the end report of a request is assumed to be lost and the
 * request counts as ended. Exceeds the longest deadline in use, 20 s. */
constexpr std::chrono::seconds kMaxRequestAge{30};

}  // namespace

PlacementTracker::~PlacementTracker() {
  for (auto& [ticket, open] : open_) RemoveLoad(open);
}

void PlacementTracker::RemoveLoad(Open& open) {
  open.engine->placed_prompt_ms -= std::exchange(open.prompt_ms, 0);
  --open.engine->placed;
}

void PlacementTracker::Add(uint64_t ticket, UpstreamPtr engine,
                           double prompt_ms, Clock::time_point now,
                           engines::Reservation reservation) {
  End(ticket);
  engine->placed_prompt_ms += prompt_ms;
  ++engine->placed;
  open_[ticket] = {std::move(engine), prompt_ms, now, std::move(reservation)};
}

void PlacementTracker::PromptRead(uint64_t ticket) {
  const auto it = open_.find(ticket);
  if (it == open_.end()) return;
  it->second.engine->placed_prompt_ms -= std::exchange(it->second.prompt_ms, 0);
}

UpstreamPtr PlacementTracker::End(uint64_t ticket) {
  const auto it = open_.find(ticket);
  if (it == open_.end()) return nullptr;
  RemoveLoad(it->second);
  UpstreamPtr engine = std::move(it->second.engine);
  open_.erase(it);
  return engine;
}

void PlacementTracker::Expire(Clock::time_point now) {
  std::vector<uint64_t> expired;
  for (const auto& [ticket, open] : open_) {
    if (now - open.since > kMaxRequestAge) expired.push_back(ticket);
  }
  for (const uint64_t ticket : expired) End(ticket);
}

}  // namespace turmeric::routing
