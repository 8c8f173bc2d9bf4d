#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/routing/upstream.h"

namespace turmeric::routing {

/** What is known of a request when its upstream is chosen. */
struct ChoiceRequest {
  /** Groups requests that share cached prompt parts; empty: no affinity. */
  std::string_view affinity_key;
  /** Expected time to read its prompt if nothing is cached, ms. */
  double prompt_ms = 0;
  /** Preferred availability zone; empty: none. */
  std::string_view zone;
  /** Cost of serving from another zone, in ms of waiting it is worth. */
  double zone_cost_ms = 0;
  /** Ids not to be used again. */
  std::span<const std::string> tried;
};

/**
 * Chooses an upstream for a request. Requests with the same affinity key go
 * to the same upstream while it is not much more loaded than the best other
 * (rendezvous hashing with a bounded load); others go to the least loaded.
 * Avoided upstreams are used only when no other is left.
 * @param upstreams of the service. @param request what is known of it.
 * @param now the time.
 * @return the choice, or nullptr if no listed upstream is left.
 */
UpstreamPtr ChooseUpstream(std::span<const UpstreamPtr> upstreams,
                           const ChoiceRequest& request, Clock::time_point now);

/**
 * @param key any key. @param member one of the candidates.
 * @return the member's rendezvous weight for the key; the highest wins.
 */
uint64_t RendezvousWeight(std::string_view key, std::string_view member);

}  // namespace turmeric::routing
