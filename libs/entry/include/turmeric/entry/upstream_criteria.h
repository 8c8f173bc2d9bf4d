#pragma once

#include <span>
#include <string>
#include <string_view>

#include "turmeric/peer/frame.h"
#include "turmeric/routing/choice.h"

namespace turmeric::entry {

struct CallerRequest;

/** What an upstream is chosen by, besides the request. */
struct WantedUpstream {
  const CallerRequest& request;
  std::span<const std::string> tried;
  std::string_view own_zone;      ///< This instance's.
  std::string_view results_zone;  ///< Of large stage results; empty: none.
};

/** @param tokens of a prompt. @return time to read them, ms. */
double PromptMs(int tokens);
/** @param request a request. @return time to read its prompt, ms. */
double PromptMs(const CallerRequest& request);

/** @param wanted see WantedUpstream, of a service that is no engine; what it
 * views must outlive the result. @return what ChooseUpstream is asked. */
routing::ChoiceRequest ToChoice(const WantedUpstream& wanted);

/** @param wanted see WantedUpstream; its request carries a prompt.
 * @return what the owner of the engines is asked, without ticket or service. */
peer::PlacementOrder ToPlacement(const WantedUpstream& wanted);
/** @param order as from ToPlacement; must outlive the result.
 * @return what ChooseUpstream is asked. */
routing::ChoiceRequest ToChoice(const peer::PlacementOrder& order);

}  // namespace turmeric::entry
