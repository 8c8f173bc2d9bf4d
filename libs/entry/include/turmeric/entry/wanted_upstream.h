#pragma once

#include <span>
#include <string>
#include <string_view>

#include "turmeric/routing/choice.h"

namespace turmeric::entry {

struct CallerRequest;

/** What an upstream is chosen by, besides the request. */
struct WantedUpstream {
  const CallerRequest& request;
  bool carries_prompt = false;  ///< The route's upstreams are engines.
  std::span<const std::string> tried;
  std::string_view own_zone;      ///< This instance's.
  std::string_view results_zone;  ///< Of large stage results; empty: none.
};

/** @param request a request. @return time to read its prompt, ms. */
double PromptMs(const CallerRequest& request);

/** @param wanted see WantedUpstream; what it views must outlive the result.
 * @return what ChooseUpstream is asked. */
routing::ChoiceRequest ToChoice(const WantedUpstream& wanted);

}  // namespace turmeric::entry
