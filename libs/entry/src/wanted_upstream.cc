#include "turmeric/entry/wanted_upstream.h"

#include <vector>

#include "turmeric/entry/wire_format.h"

namespace turmeric::entry {

namespace {

/** Tokens of a prompt that an engine reads in a millisecond, for load
 * estimates where it has not been measured. */
constexpr double kPromptTokensPerMs = 38;
/** Waiting that a large stage result in another zone is worth, ms. */
constexpr double kLargeInputZoneMs = 150;
/** Waiting that another zone is worth otherwise, ms: the way there and
 * back. */
constexpr double kOtherZoneMs = 2;

void AddPrompt(const CallerRequest& request, routing::ChoiceRequest& choice) {
  choice.has_prompt = true;
  // Parts in order: shared by many, by a session, the request's own.
  const std::vector<PromptPart>& prompt = request.prompt;
  if (prompt.empty()) return;
  choice.shared_part = prompt.front().id;
  choice.session_part = prompt[prompt.size() > 1 ? prompt.size() - 2 : 0].id;
  choice.shared_ms = prompt.front().tokens / kPromptTokensPerMs;
  for (size_t i = 1; i + 1 < prompt.size(); ++i) {
    choice.session_ms += prompt[i].tokens / kPromptTokensPerMs;
  }
}

}  // namespace

double PromptMs(const CallerRequest& request) {
  return request.prompt_tokens / kPromptTokensPerMs;
}

routing::ChoiceRequest ToChoice(const WantedUpstream& wanted) {
  routing::ChoiceRequest choice;
  choice.tried = wanted.tried;
  if (wanted.carries_prompt) AddPrompt(wanted.request, choice);
  if (!wanted.results_zone.empty()) {
    choice.zone = wanted.results_zone;
    choice.zone_cost_ms = kLargeInputZoneMs;
  } else if (!wanted.carries_prompt) {
    choice.zone = wanted.own_zone;
    choice.zone_cost_ms = kOtherZoneMs;
  }
  return choice;
}

}  // namespace turmeric::entry
