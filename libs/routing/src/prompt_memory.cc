#include "turmeric/routing/prompt_memory.h"

#include <algorithm>
#include <numeric>

namespace turmeric::routing {

namespace {

/** Fraction of an engine's memory that prompt parts fill: running requests use
 * the rest. */
constexpr double kPartsFraction = 0.5;
/** Most parts recorded for one engine, whatever their stated size: bounds the
 * memory of this process that callers can consume. */
constexpr size_t kMaxPartsPerEngine = 2000;

}  // namespace

void PromptMemory::Note(const std::string& engine, std::string_view part,
                        int64_t tokens, int64_t capacity) {
  if (part.empty() || tokens <= 0) return;
  Engine& held = engines_[engine];
  const std::string name(part);
  if (const auto it = held.by_part.find(name); it != held.by_part.end()) {
    held.by_use.splice(held.by_use.begin(), held.by_use, it->second);
    return;
  }
  held.by_use.push_front({name, tokens});
  held.by_part[name] = held.by_use.begin();
  held.tokens += tokens;
  const auto max_tokens =
      static_cast<int64_t>(kPartsFraction * static_cast<double>(capacity));
  while (held.by_use.size() > 1 && (held.tokens > max_tokens ||
                                    held.by_use.size() > kMaxPartsPerEngine)) {
    held.tokens -= held.by_use.back().tokens;
    held.by_part.erase(held.by_use.back().part);
    held.by_use.pop_back();
  }
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
