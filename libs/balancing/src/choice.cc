#include "turmeric/balancing/choice.h"

#include <algorithm>
#include <array>

namespace turmeric::balancing {

namespace {

constexpr size_t kDraws = 2;
constexpr size_t kManyDraws = 3;
constexpr size_t kManyCandidates = 12;
constexpr uint64_t kTryInterval = 32;
constexpr std::chrono::seconds kTryAge{1};
constexpr double kMaxTryRatio = 4.0;

/** The next value of the SplitMix64 sequence. @param state advanced. */
uint64_t NextDraw(uint64_t& state) {
  state += 0x9e3779b97f4a7c15ULL;
  uint64_t z = state;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

double Weight(const Candidate& candidate) {
  return std::max(1, candidate.slots) / std::max(1e-6, candidate.service_ms);
}

/** Draws one candidate by its weight, without those in `drawn`. */
size_t DrawOne(std::span<const Candidate> candidates,
               std::span<const size_t> drawn, uint64_t draw) {
  const auto is_drawn = [&](size_t i) {
    return std::ranges::find(drawn, i) != drawn.end();
  };
  double total = 0;
  for (const Candidate& c : candidates) total += Weight(c);
  for (const size_t i : drawn) total -= Weight(candidates[i]);
  double left = static_cast<double>(draw >> 11) * 0x1p-53 * total;
  size_t last = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (is_drawn(i)) continue;
    last = i;
    left -= Weight(candidates[i]);
    if (left < 0) break;
  }
  return last;
}

/** @return the candidate to try, or nullopt. */
std::optional<size_t> ToTry(std::span<const Candidate> candidates,
                            const Candidate& chosen, Clock::time_point now) {
  const auto oldest =
      std::ranges::min_element(candidates, {}, &Candidate::sampled_at);
  if (oldest->sampled_at + kTryAge > now) return std::nullopt;
  if (oldest->expected_ms > kMaxTryRatio * chosen.expected_ms) {
    return std::nullopt;
  }
  return static_cast<size_t>(oldest - candidates.begin());
}

}  // namespace

std::optional<size_t> ChooseByExpectedTime(
    std::span<const Candidate> candidates, uint64_t draw,
    Clock::time_point now) {
  if (candidates.empty()) return std::nullopt;
  uint64_t state = draw;
  std::array<size_t, kManyDraws> drawn{};
  const size_t draws =
      std::min(candidates.size(),
               candidates.size() >= kManyCandidates ? kManyDraws : kDraws);
  for (size_t i = 0; i < draws; ++i) {
    drawn.at(i) =
        DrawOne(candidates, std::span(drawn).first(i), NextDraw(state));
  }
  const size_t best = *std::ranges::min_element(
      std::span(drawn).first(draws), {},
      [&](size_t i) { return candidates[i].expected_ms; });
  if (NextDraw(state) % kTryInterval != 0) return best;
  return ToTry(candidates, candidates[best], now).value_or(best);
}

}  // namespace turmeric::balancing
