#pragma once

#include <span>
#include <string>
#include <string_view>

#include "turmeric/peer/frame.h"
#include "turmeric/routing/choice.h"

namespace turmeric::entry {

/**
 * Extra waiting accepted to stay in the zone of this instance for a service
 * that is not an engine service, ms: the round trip.
 */
inline constexpr int kOtherZoneMs = 2;

struct CallerRequest;

/** The request and the constraints by which its upstream is chosen. */
struct UpstreamCriteria {
  const CallerRequest& request;
  /** Ids of upstreams that must not be used again. */
  std::span<const std::string> tried;
  std::string_view own_zone;      ///< Zone of this instance.
  std::string_view results_zone;  ///< Zone of large stage results; empty: none.
  /** Software version that began the request's stream; empty: any. */
  std::string_view version;
};

/**
 * @param tokens number of prompt tokens.
 * @return estimated time to read them, ms.
 */
double PromptMs(int tokens);
/**
 * @param request a request.
 * @return estimated time to read its prompt, ms.
 */
double PromptMs(const CallerRequest& request);

/**
 * @param criteria for a service that is not an engine service; the data it
 *     views must outlive the result.
 * @return the parameters for routing::ChooseUpstream.
 */
routing::ChoiceRequest ToChoiceRequest(const UpstreamCriteria& criteria);

/**
 * @param criteria for an engine service; the request carries a prompt.
 * @return the order for the owner of the cell, without ticket and service.
 */
peer::PlacementOrder ToPlacementOrder(const UpstreamCriteria& criteria);
/**
 * @param order as returned by ToPlacementOrder; must outlive the result.
 * @return the parameters for routing::ChooseUpstream.
 */
routing::ChoiceRequest ToChoiceRequest(const peer::PlacementOrder& order);

}  // namespace turmeric::entry
