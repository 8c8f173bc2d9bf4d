#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/routing/prompt_memory.h"
#include "turmeric/routing/upstream.h"

namespace turmeric::routing {

/** Tells whether an upstream may get one more request; empty: each may. */
using Admits = std::function<bool(const Upstream&)>;

/** What is known of a request when its upstream is chosen. */
struct ChoiceRequest {
  /** The first part of its prompt, which many requests share; empty: no
   * affinity. */
  std::string_view shared_part;
  /** The part it shares with its session only; empty: none. */
  std::string_view session_part;
  /** Time to read the shared part and the session part if not cached, ms. */
  double shared_ms = 0;
  double session_ms = 0;
  /** True for requests with a prompt: load is prompt reading. */
  bool has_prompt = false;
  /** Preferred availability zone; empty: none. */
  std::string_view zone;
  /** Cost of serving from another zone, in ms of waiting it is worth. */
  double zone_cost_ms = 0;
  /** What engines hold, if requests of all instances are placed here; null:
   * it is assumed by hashing. */
  const PromptMemory* memory = nullptr;
  /** Ids not to be used again. */
  std::span<const std::string> tried;
  Admits admits = {};
};

/**
 * Chooses an upstream for a request. Requests of one session go to the same
 * upstream, and those that share the first part of their prompt to a few,
 * while these are not much more loaded than the others (rendezvous hashing
 * with a bounded load); others go to the least loaded. Avoided upstreams are
 * used only when no other is left.
 * @param upstreams of the service. @param request what is known of it.
 * @param now the time.
 * @return the choice, or nullptr if no listed upstream is left.
 */
UpstreamPtr ChooseUpstream(std::span<const UpstreamPtr> upstreams,
                           const ChoiceRequest& request, Clock::time_point now);

/**
 * Chooses an upstream for work under which others have ended. Whatever ran
 * there beside it is under the same suspicion, and prefers the same upstreams:
 * sent on by load or prompt, the innocent would meet the cause again. The
 * choice is by the work alone, so that they part.
 * @param upstreams of the service. @param work its fingerprint.
 * @param tried ids not to be used again. @param now the time.
 * @param admits see Admits.
 * @return the choice, or nullptr if no listed upstream is left.
 */
UpstreamPtr ChooseApart(std::span<const UpstreamPtr> upstreams,
                        std::string_view work,
                        std::span<const std::string> tried,
                        Clock::time_point now, const Admits& admits = {});

/**
 * @param upstreams of the service. @param request what is known of it.
 * @param now the time.
 * @return the upstream that would serve the request if all were idle, or
 *     nullptr if it has no affinity or none is usable.
 */
UpstreamPtr HomeUpstream(std::span<const UpstreamPtr> upstreams,
                         const ChoiceRequest& request, Clock::time_point now);

/**
 * @param request with the memory of what engines hold, or without.
 * @param upstream an engine.
 * @return time to read the parts that requests share and the engine does not
 *     hold, ms. A part is of use only if all parts before it are held too.
 */
double UnheldMs(const ChoiceRequest& request, const Upstream& upstream);

/**
 * @param key any key. @param member one of the candidates.
 * @return the member's rendezvous weight for the key; the highest wins.
 */
uint64_t RendezvousWeight(std::string_view key, std::string_view member);

}  // namespace turmeric::routing
