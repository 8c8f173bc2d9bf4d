#pragma once

#include <cstdint>
#include <unordered_map>

#include "turmeric/engines/reservation.h"
#include "turmeric/routing/upstream.h"

namespace turmeric::routing {

/**
 * Tracks the placements given to one instance (requests that it is to send to
 * chosen engines) and counts them as load on these engines. The load of a
 * prompt is removed when the instance reports it as read, and that of a request
 * when it reports the end. The destructor removes all remaining load. The
 * caller passes in the time.
 */
class PlacementTracker {
 public:
  PlacementTracker() = default;
  ~PlacementTracker();
  PlacementTracker(const PlacementTracker&) = delete;
  PlacementTracker& operator=(const PlacementTracker&) = delete;

  /**
   * Adds a placement; replaces one with the same ticket.
   * @param ticket identifies the request. @param engine that serves it.
   * @param prompt_ms time to read its prompt. @param now current time.
   * @param reservation freed when the placement ends.
   */
  void Add(uint64_t ticket, UpstreamPtr engine, double prompt_ms,
           Clock::time_point now, engines::Reservation reservation = {});
  /** Removes the prompt load of a request whose answer has begun.
   * @param ticket from Add; unknown ones are ignored. */
  void PromptRead(uint64_t ticket);
  /** Removes a request that has ended.
   * @param ticket from Add; unknown ones are ignored.
   * @return its engine, or nullptr. */
  UpstreamPtr End(uint64_t ticket);
  /** Removes requests whose end report was lost. @param now current time. */
  void Expire(Clock::time_point now);
  /** @return open requests. */
  size_t size() const { return open_.size(); }

 private:
  struct Open {
    UpstreamPtr engine;
    double prompt_ms = 0;
    Clock::time_point since;
    engines::Reservation reservation;
  };
  static void RemoveLoad(Open& open);

  std::unordered_map<uint64_t, Open> open_;
};

}  // namespace turmeric::routing
