#include "turmeric/routing/prompt_memory.h"

#include <algorithm>
#include <numeric>

namespace turmeric::routing {

namespace {

/** Most parts recorded for one engine, whatever their stated size: bounds the
 * memory of this process that callers can consume. */
constexpr size_t kMaxPartsPerEngine = 2000;

}  // namespace

void PromptMemory::Note(const std::string& engine, std::string_view part,
                        int64_t tokens, int64_t max_tokens,
                        Clock::time_point now) {
  if (part.empty() || tokens <= 0) return;
  Engine& held = engines_[engine];
  const std::string name(part);
  if (const auto it = held.by_part.find(name); it != held.by_part.end()) {
    it->second->used_at = now;
    held.by_use.splice(held.by_use.begin(), held.by_use, it->second);
  } else {
    held.by_use.push_front({name, tokens, now});
    held.by_part[name] = held.by_use.begin();
    held.tokens += tokens;
  }
  while (held.by_use.size() > 1 && (held.tokens > max_tokens ||
                                    held.by_use.size() > kMaxPartsPerEngine)) {
    held.tokens -= held.by_use.back().tokens;
    held.by_part.erase(held.by_use.back().part);
    held.by_use.pop_back();
  }
}

int64_t PromptMemory::EvictedTokens(std::string_view engine,
                                    std::span<const std::string_view> kept,
                                    int64_t added, int64_t max_tokens,
                                    Clock::time_point since) const {
  const auto it = engines_.find(engine);
  if (it == engines_.end()) return 0;
  int64_t over = it->second.tokens + added - max_tokens;
  int64_t evicted = 0;
  const std::list<Held>& parts = it->second.by_use;
  for (auto held = parts.rbegin(); held != parts.rend() && over > 0; ++held) {
    if (std::ranges::find(kept, held->part) != kept.end()) continue;
    over -= held->tokens;
    if (held->used_at >= since) evicted += held->tokens;
  }
  return evicted;
}

bool PromptMemory::Holds(std::string_view engine, std::string_view part) const {
  const auto it = engines_.find(engine);
  return it != engines_.end() && it->second.by_part.contains(std::string(part));
}

void PromptMemory::RemoveEngine(std::string_view engine) {
  const auto it = engines_.find(engine);
  if (it != engines_.end()) engines_.erase(it);
}

size_t PromptMemory::size() const {
  return std::accumulate(engines_.begin(), engines_.end(), size_t{0},
                         [](size_t sum, const auto& entry) {
                           return sum + entry.second.by_use.size();
                         });
}

}  // namespace turmeric::routing
