#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "turmeric/peer/frame.h"
#include "turmeric/routing/placement_tracker.h"

namespace turmeric::entry {

struct EntryContext;

/**
 * Places the requests of all instances on the engines of the cells that this
 * instance owns. Answers a fleet in which each instance sees a small part of an
 * engine's load: their own choices would meet on the same engines, some of
 * which then had waits of a second beside idle ones.
 */
class PlacementDesk {
 public:
  /** @param context the instance's state; must outlive this. */
  explicit PlacementDesk(EntryContext& context);

  /**
   * Chooses an engine and counts the request as its load.
   * @param guest identity of the instance that asks. @param order what it asks.
   * @param now the time.
   * @return the engine, or nullptr if none of the cell is left.
   */
  routing::UpstreamPtr Place(const std::string& guest,
                             const peer::PlacementOrder& order,
                             routing::Clock::time_point now);
  /** @param guest see Place. @param ticket of a request whose answer began. */
  void PromptRead(const std::string& guest, uint64_t ticket);
  /**
   * A request has ended. How its engine did counts for later choices: an engine
   * that has crashed ends its requests at once, seems idle by what is open on
   * it, and would be given the requests of the whole fleet.
   * @param guest see Place; empty: this instance, which notes outcomes itself.
   * @param end which request, and how its engine did.
   */
  void End(const std::string& guest, const peer::PlacementEnd& end);
  /** Drops what was placed for an instance that is gone. */
  void Forget(const std::string& guest);
  /** Drops requests whose end was lost on the way. @param now the time. */
  void Expire(routing::Clock::time_point now);

 private:
  void Remember(const peer::PlacementOrder& order,
                const routing::Upstream& engine);

  EntryContext& context_;
  std::map<std::string, routing::PlacementTracker> books_;  ///< By guest.
};

}  // namespace turmeric::entry
