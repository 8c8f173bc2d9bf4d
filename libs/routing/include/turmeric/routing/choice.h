#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/engines/engine_room.h"
#include "turmeric/routing/prompt_memory.h"
#include "turmeric/routing/upstream.h"

namespace turmeric::routing {

/** Returns true if an upstream may receive one more request; an empty function
 * admits every upstream. */
using UpstreamFilter = std::function<bool(const Upstream&)>;

/** The memory of engines, for placements that consider it. */
struct RoomCriteria {
  /** Memory that open requests occupy; null: not considered. */
  const engines::EngineRoom* room = nullptr;
  engines::TokenDemand demand;  ///< Of the request.
  int64_t capacity = 0;         ///< Memory of each engine, tokens.
  double ms_per_token = 0;      ///< Time to read a prompt token, ms.
};

/** The properties of a request by which its upstream is chosen. */
struct ChoiceRequest {
  /** Id of the first part of its prompt, which many requests share; empty: the
   * request has no affinity. */
  std::string_view shared_part;
  /** Id of the prompt part that it shares with requests of its session only;
   * empty: none. */
  std::string_view session_part;
  /** Time to read the shared part and the session part if not cached, ms. */
  double shared_ms = 0;
  double session_ms = 0;
  /** True for requests with a prompt: an upstream's load is then the prompt
   * reading that waits there. */
  bool has_prompt = false;
  /** Preferred availability zone; empty: none. */
  std::string_view zone;
  /** Cost of serving from another zone, given as the waiting time of equal
   * cost, ms. */
  double zone_cost_ms = 0;
  /** The prompt parts that engines hold, if this instance places the requests
   * of all instances; null: assumed by rendezvous hashing. */
  const PromptMemory* memory = nullptr;
  /** Ids of upstreams that are excluded because they were tried before. */
  std::span<const std::string> tried;
  /** Software version that the upstream must have; empty: any. */
  std::string_view version;
  UpstreamFilter admits = {};
  /** The request is sent by a peer instance, which upstreams may not have asked
   * for the rests that they want from this one. */
  bool for_peer = false;
  /** Random number. With it, a request without a prompt goes to an upstream by
   * the expected time to its answer, if the upstreams are known to be uneven
   * (see balancing::IsUneven); nullopt: to the least loaded one. */
  std::optional<uint64_t> draw = {};
  /** Few engines serve the requests with one shared part, instead of half of
   * the service's, so that few read it. */
  bool small_groups = false;
  RoomCriteria memory_use = {};
};

/**
 * Chooses an upstream for a request. Requests of one session go to the same
 * upstream, and requests that share the first part of their prompt go to a few
 * upstreams, while these are not much more loaded than the others (rendezvous
 * hashing with bounded load); requests without affinity go to the least loaded
 * upstream, or by ChoiceRequest::draw. Upstreams to which this instance may not
 * send (see MaySend) are not used; avoided ones (see IsAvoided), those that
 * rest from a peer, and for a peer's request those that rest from this
 * instance, only when no other is left. Engines without room for the request
 * (see RoomCriteria) are not used while another has room; if none has, the one
 * with the most room is.
 * @param upstreams of the service. @param request its properties.
 * @param now current time.
 * @return the choice, or nullptr if no listed upstream is left.
 */
UpstreamPtr ChooseUpstream(std::span<const UpstreamPtr> upstreams,
                           const ChoiceRequest& request, Clock::time_point now);

/**
 * Chooses an upstream for a suspect: a request that was running on an upstream
 * when the upstream crashed. If suspects were placed by load or prompt, they
 * would prefer the same upstreams, and a harmless request would run next to the
 * cause of the crash again. Choosing by the fingerprint alone spreads the
 * suspects over different upstreams.
 * @param upstreams of the service. @param work fingerprint of the request.
 * @param request its properties, of which those that exclude upstreams count.
 * @param now current time.
 * @return the choice, or nullptr if no listed upstream is left.
 */
UpstreamPtr ChooseByFingerprint(std::span<const UpstreamPtr> upstreams,
                                std::string_view work,
                                const ChoiceRequest& request,
                                Clock::time_point now);

/**
 * @param upstreams of the service. @param request its properties.
 * @param now current time.
 * @return the upstream that would serve the request if all upstreams were idle,
 *     or nullptr if the request has no affinity or no upstream is usable.
 */
UpstreamPtr HomeUpstream(std::span<const UpstreamPtr> upstreams,
                         const ChoiceRequest& request, Clock::time_point now);

/**
 * @param request with a prompt; without a prompt memory, no part counts as
 *     held.
 * @param upstream an engine.
 * @return time to read the shared and the session part as far as the engine
 *     does not hold them, ms. A held part saves time only if all parts before
 *     it are held too.
 */
double UncachedPromptMs(const ChoiceRequest& request, const Upstream& upstream);

/**
 * @param key any key. @param member one of the candidates.
 * @return the member's rendezvous weight for the key; the highest wins.
 */
uint64_t RendezvousWeight(std::string_view key, std::string_view member);

}  // namespace turmeric::routing
