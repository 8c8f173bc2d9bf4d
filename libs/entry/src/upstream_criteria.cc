#include "turmeric/entry/upstream_criteria.h"

#include <algorithm>
#include <cstdint>
#include <vector>

#include "turmeric/entry/wire_format.h"

namespace turmeric::entry {

namespace {

/**
 * Prompt tokens that an engine reads per millisecond; used for load estimates
 * where the rate has not been measured.
 */
constexpr double kPromptTokensPerMs = 38;
/**
 * Extra waiting accepted to stay in the zone that holds a large stage result,
 * ms.
 */
constexpr int kLargeInputZoneMs = 150;
/** More tokens than an engine's memory holds. */
constexpr int64_t kMaxSessionTokens = 1000000000;

/**
 * Adds the prompt's parts, which are ordered: the first is shared by many
 * requests, the last is the request's own, those between are shared within its
 * session.
 */
void AddPromptParts(const std::vector<PromptPart>& prompt,
                    peer::PlacementOrder& order) {
  if (prompt.empty()) return;
  order.shared_part = prompt.front().id;
  order.session_part = prompt[prompt.size() > 1 ? prompt.size() - 2 : 0].id;
  order.shared_tokens = prompt.front().tokens;
  // A prompt may have thousands of parts, whose sum exceeds an int.
  int64_t session_tokens = 0;
  for (size_t i = 1; i + 1 < prompt.size(); ++i) {
    session_tokens += prompt[i].tokens;
  }
  order.session_tokens = static_cast<int>(
      std::clamp<int64_t>(session_tokens, 0, kMaxSessionTokens));
}

}  // namespace

double PromptMs(int tokens) { return tokens / kPromptTokensPerMs; }

double PromptMs(const CallerRequest& request) {
  return PromptMs(request.prompt_tokens);
}

peer::PlacementOrder ToPlacementOrder(const UpstreamCriteria& criteria) {
  peer::PlacementOrder order;
  AddPromptParts(criteria.request.prompt, order);
  order.prompt_tokens = criteria.request.prompt_tokens;
  order.excluded.assign(criteria.tried.begin(), criteria.tried.end());
  order.version = criteria.version;
  if (!criteria.results_zone.empty()) {
    order.zone = criteria.results_zone;
    order.zone_cost_ms = kLargeInputZoneMs;
  }
  return order;
}

routing::ChoiceRequest ToChoiceRequest(const peer::PlacementOrder& order) {
  routing::ChoiceRequest choice;
  choice.has_prompt = true;
  choice.shared_part = order.shared_part;
  choice.session_part = order.session_part;
  choice.shared_ms = PromptMs(order.shared_tokens);
  choice.session_ms = PromptMs(order.session_tokens);
  choice.zone = order.zone;
  choice.zone_cost_ms = order.zone_cost_ms;
  choice.tried = order.excluded;
  choice.version = order.version;
  return choice;
}

routing::ChoiceRequest ToChoiceRequest(const UpstreamCriteria& criteria) {
  routing::ChoiceRequest choice;
  choice.tried = criteria.tried;
  choice.version = criteria.version;
  choice.zone = criteria.own_zone;
  choice.zone_cost_ms = kOtherZoneMs;
  return choice;
}

}  // namespace turmeric::entry
