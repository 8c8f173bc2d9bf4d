#pragma once

#include <span>
#include <string>

#include "turmeric/routing/route_table.h"
#include "turmeric/routing/upstream.h"

namespace turmeric::entry {

struct EntryContext;
struct WantedUpstream;

/**
 * @param context the instance's state. @param service that the request goes to.
 * @param route its route. @param stage_pieces pieces of each stage.
 * @return true if each service that the request needs has an upstream.
 */
bool HasUpstreams(const EntryContext& context, const std::string& service,
                  const routing::Route& route,
                  std::span<const int> stage_pieces);

/**
 * @param context the instance's state. @param service an engine service.
 * @param wanted the request.
 * @return the zone of the engine that would serve the request if all were idle;
 *     our own if there is none.
 */
std::string HomeZone(const EntryContext& context, const std::string& service,
                     const WantedUpstream& wanted);

/** How an upstream is chosen without the owner of its cell. */
struct AloneChoice {
  const std::string& service;
  const std::string& work;  ///< Fingerprint of the request.
  bool has_owner = false;   ///< The service's upstreams are placed by owners.
  bool suspect = false;     ///< Upstreams have ended as they began the work.
};

/**
 * Chooses an upstream by what is known here alone, and counts the send.
 * @param context the instance's state. @param choice see AloneChoice.
 * @param wanted the request.
 * @return the upstream, or nullptr if none may get it now.
 */
routing::UpstreamPtr ChooseAlone(EntryContext& context,
                                 const AloneChoice& choice,
                                 const WantedUpstream& wanted);

/**
 * @param context the instance's state. @param service its name.
 * @param tried ids of upstreams that are not to be used again.
 * @return true if upstreams are left that only have as much now as they would
 *     bear if they were cold.
 */
bool MayHaveRoomSoon(const EntryContext& context, const std::string& service,
                     std::span<const std::string> tried);

}  // namespace turmeric::entry
