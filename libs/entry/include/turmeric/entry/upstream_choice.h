#pragma once

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/routing/choice.h"
#include "turmeric/routing/route_table.h"
#include "turmeric/routing/upstream.h"

namespace turmeric::entry {

struct EntryContext;
struct UpstreamCriteria;

/** The upstreams that may serve a request. */
struct UpstreamGroup {
  const std::string& service;
  std::string_view version;  ///< Software version; empty: any.
};

/**
 * Checks that a request can be served at all, before any of its work begins.
 * @param context the instance's state.
 * @param group the upstreams that the request goes to.
 * @param route the request's route.
 * @param stage_pieces number of pieces of each stage.
 * @return true if the group, and each stage service that has pieces, has a
 *     listed upstream.
 */
bool HasUpstreams(const EntryContext& context, const UpstreamGroup& group,
                  const routing::Route& route,
                  std::span<const int> stage_pieces);

/**
 * @param context the instance's state.
 * @param service name of a service.
 * @return true if placements on its upstreams consider their memory: its
 *     configuration states the memory of an engine.
 */
bool UsesEngineRoom(const EntryContext& context, const std::string& service);
/**
 * @param context the instance's state.
 * @param service an engine service.
 * @param criteria the request and its constraints.
 * @return the zone of the engine that the request's prompt prefers by
 *     rendezvous hashing, regardless of load; this instance's zone if there is
 *     no such engine.
 */
std::string AffinityZone(const EntryContext& context,
                         const std::string& service,
                         const UpstreamCriteria& criteria);

/** Parameters of a choice that is made without the owner of the cell. */
struct LocalChoice {
  const std::string& service;
  std::string_view fingerprint;  ///< Of the request; read for suspects only.
  /**
   * True if requests to the service are normally placed by the owners of its
   * cells.
   */
  bool has_owner = false;
  /**
   * True if the request is suspected of crashing upstreams and must be kept
   * apart from other suspects.
   */
  bool suspect = false;
};

/**
 * Chooses an upstream from the state known to this instance, and records the
 * send with the cold limiter.
 * @param context the instance's state.
 * @param choice see LocalChoice.
 * @param request properties of the request; `admits` is replaced.
 * @return the upstream, or nullptr if none may receive the request now.
 */
routing::UpstreamPtr ChooseLocally(EntryContext& context,
                                   const LocalChoice& choice,
                                   routing::ChoiceRequest request);

/**
 * @param context the instance's state.
 * @param group the upstreams that may serve the request.
 * @return the time left until the first of them may be sent to, if all that are
 *     listed rest; nullopt otherwise.
 */
std::optional<std::chrono::milliseconds> RestLeft(const EntryContext& context,
                                                  const UpstreamGroup& group);

/**
 * Decides whether rests make another send of a request useless that an upstream
 * has turned away. Upstreams that rest from a peer count as resting: they would
 * turn the request away, and the send would cost retry credit.
 * @param context the instance's state.
 * @param group the upstreams that may serve the request.
 * @param tried ids of upstreams that must not be used again.
 * @return the time left until the first upstream of the group does not rest, 0
 * if one that was tried does not; nullopt if another one is free now, or if
 *     none rests.
 */
std::optional<std::chrono::milliseconds> RestBeforeRetry(
    const EntryContext& context, const UpstreamGroup& group,
    std::span<const std::string> tried);

/**
 * @param context the instance's state.
 * @param service its name.
 * @return ids of its upstreams that rest; not all, if there are very many.
 */
std::vector<std::string> RestingIds(const EntryContext& context,
                                    const std::string& service);

/**
 * @param context the instance's state.
 * @param service its name.
 * @return its upstreams that rest and the time left in ms, for the log.
 */
std::string DescribeRests(const EntryContext& context,
                          const std::string& service);

/**
 * @param context the instance's state.
 * @param group the upstreams that may serve the request.
 * @param tried ids of upstreams that must not be used again.
 * @return the upstreams that may be sent to, but to which this instance has no
 *     free connection.
 */
std::vector<routing::UpstreamPtr> UpstreamsWithoutConnection(
    const EntryContext& context, const UpstreamGroup& group,
    std::span<const std::string> tried);

/**
 * @param context the instance's state.
 * @param group the upstreams that may serve the request.
 * @param tried ids of upstreams that must not be used again.
 * @return true if the cold limit applies to the service and an upstream outside
 *     `tried` is listed: its arrivals may be at the limit only for the current
 *     second.
 */
bool MayHaveCapacitySoon(const EntryContext& context,
                         const UpstreamGroup& group,
                         std::span<const std::string> tried);

}  // namespace turmeric::entry
