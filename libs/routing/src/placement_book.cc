#include "turmeric/routing/placement_book.h"

#include <utility>
#include <vector>

namespace turmeric::routing {

namespace {

/** Requests end by their deadline; what is older was not told of. Above the
 * longest deadline in use, 20 s. */
constexpr std::chrono::seconds kLongestRequest{30};

}  // namespace

PlacementBook::~PlacementBook() {
  for (auto& [ticket, open] : open_) TakeOff(open);
}

void PlacementBook::TakeOff(Open& open) {
  open.engine->placed_prompt_ms -= std::exchange(open.prompt_ms, 0);
  --open.engine->placed;
}

void PlacementBook::Add(uint64_t ticket, UpstreamPtr engine, double prompt_ms,
                        Clock::time_point now) {
  End(ticket);
  engine->placed_prompt_ms += prompt_ms;
  ++engine->placed;
  open_[ticket] = {std::move(engine), prompt_ms, now};
}

void PlacementBook::PromptRead(uint64_t ticket) {
  const auto it = open_.find(ticket);
  if (it == open_.end()) return;
  it->second.engine->placed_prompt_ms -= std::exchange(it->second.prompt_ms, 0);
}

UpstreamPtr PlacementBook::End(uint64_t ticket) {
  const auto it = open_.find(ticket);
  if (it == open_.end()) return nullptr;
  TakeOff(it->second);
  UpstreamPtr engine = std::move(it->second.engine);
  open_.erase(it);
  return engine;
}

void PlacementBook::Expire(Clock::time_point now) {
  std::vector<uint64_t> expired;
  for (const auto& [ticket, open] : open_) {
    if (now - open.since > kLongestRequest) expired.push_back(ticket);
  }
  for (const uint64_t ticket : expired) End(ticket);
}

}  // namespace turmeric::routing
