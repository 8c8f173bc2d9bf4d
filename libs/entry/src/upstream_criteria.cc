#include "turmeric/entry/upstream_criteria.h"

#include <vector>

#include "turmeric/entry/wire_format.h"

namespace turmeric::entry {

namespace {

/** Tokens of a prompt that an engine reads in a millisecond, for load
 * estimates where it has not been measured. */
constexpr double kPromptTokensPerMs = 38;
/** Waiting that a large stage result in another zone is worth, ms. */
constexpr int kLargeInputZoneMs = 150;
/** Waiting that another zone is worth otherwise, ms: the way there and
 * back. */
constexpr double kOtherZoneMs = 2;

/** Parts in order: shared by many, by a session, the request's own. */
void AddParts(const std::vector<PromptPart>& prompt,
              peer::PlacementOrder& order) {
  if (prompt.empty()) return;
  order.shared_part = prompt.front().id;
  order.session_part = prompt[prompt.size() > 1 ? prompt.size() - 2 : 0].id;
  order.shared_tokens = prompt.front().tokens;
  for (size_t i = 1; i + 1 < prompt.size(); ++i) {
    order.session_tokens += prompt[i].tokens;
  }
}

}  // namespace

double PromptMs(int tokens) { return tokens / kPromptTokensPerMs; }

double PromptMs(const CallerRequest& request) {
  return PromptMs(request.prompt_tokens);
}

peer::PlacementOrder ToPlacement(const WantedUpstream& wanted) {
  peer::PlacementOrder order;
  AddParts(wanted.request.prompt, order);
  order.prompt_tokens = wanted.request.prompt_tokens;
  order.excluded.assign(wanted.tried.begin(), wanted.tried.end());
  if (!wanted.results_zone.empty()) {
    order.zone = wanted.results_zone;
    order.zone_cost_ms = kLargeInputZoneMs;
  }
  return order;
}

routing::ChoiceRequest ToChoice(const peer::PlacementOrder& order) {
  routing::ChoiceRequest choice;
  choice.has_prompt = true;
  choice.shared_part = order.shared_part;
  choice.session_part = order.session_part;
  choice.shared_ms = PromptMs(order.shared_tokens);
  choice.session_ms = PromptMs(order.session_tokens);
  choice.zone = order.zone;
  choice.zone_cost_ms = order.zone_cost_ms;
  choice.tried = order.excluded;
  return choice;
}

routing::ChoiceRequest ToChoice(const WantedUpstream& wanted) {
  routing::ChoiceRequest choice;
  choice.tried = wanted.tried;
  choice.zone = wanted.own_zone;
  choice.zone_cost_ms = kOtherZoneMs;
  return choice;
}

}  // namespace turmeric::entry
