#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "turmeric/peer/frame.h"
#include "turmeric/routing/choice.h"
#include "turmeric/routing/placement_tracker.h"

namespace turmeric::entry {

struct EntryContext;

/**
 * Places the requests of all instances on the engines of the cells that this
 * instance owns. A cell is a shard of an engine service. In a large fleet, each
 * instance observes only a small part of the load of an engine. If each
 * instance chose engines by this part alone, many instances would choose the
 * same engines: requests would wait for about a second there while other
 * engines are idle.
 */
class PlacementCoordinator {
 public:
  /** @param context the instance's state; must outlive this. */
  explicit PlacementCoordinator(EntryContext& context);

  /**
   * Chooses an engine and counts the request as load on it.
   * @param identity process start of the instance that sends the order,
   *     "name#start"; empty: this instance.
   * @param order the order.
   * @param now current time.
   * @return the engine, or nullptr if no engine of the cell may receive the
   *     request.
   */
  routing::UpstreamPtr Place(const std::string& identity,
                             const peer::PlacementOrder& order,
                             routing::Clock::time_point now);
  /**
   * @param identity see Place.
   * @param ticket of a request whose response has begun.
   */
  void OnPromptRead(const std::string& identity, uint64_t ticket);
  /**
   * Ends a placement and records the outcome for later choices. Without the
   * outcome, an engine that has crashed would be chosen for the requests of the
   * whole fleet: it ends its requests at once and therefore seems idle.
   * @param identity see Place. If empty, the outcome is not recorded here,
   *     because this instance records the outcomes of its own sends itself.
   * @param end the request and the outcome of its send.
   */
  void End(const std::string& identity, const peer::PlacementEnd& end);
  /**
   * Ends all placements of an instance whose connection has ended.
   * @param identity see Place.
   */
  void DropInstance(const std::string& identity);
  /**
   * Ends placements whose end was not received, for example because the frame
   * was lost.
   * @param now current time.
   */
  void Expire(routing::Clock::time_point now);

 private:
  void RecordPromptParts(const peer::PlacementOrder& order,
                         const routing::Upstream& engine,
                         routing::Clock::time_point now);
  /** Records a choice that has no room for the request. */
  void CheckRoom(const std::string& service, const routing::Upstream& engine,
                 const routing::RoomCriteria& memory,
                 routing::Clock::time_point now);
  void ExportPromised() const;

  EntryContext& context_;
  /** By identity, see Place. */
  std::map<std::string, routing::PlacementTracker> trackers_;
  /** Time of the last log line about a placement without room, by service. */
  std::map<std::string, routing::Clock::time_point> without_room_logged_;
};

}  // namespace turmeric::entry
