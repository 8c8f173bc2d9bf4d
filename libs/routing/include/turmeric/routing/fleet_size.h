#pragma once

#include <chrono>
#include <deque>
#include <optional>

#include "turmeric/routing/upstream.h"

namespace turmeric::routing {

/** What one read of the fleet's list says of its size. */
struct FleetList {
  int instances = 0;            ///< This one included, in the list or not.
  bool lists_this_one = false;  ///< So others that read it know of this one.
};

/**
 * By how many instances a bound of the whole fleet is divided.
 *
 * The fleet's list is read seldom and may be stale, and an instance can be cut
 * off from it while others join. An instance takes its part for kListHolds
 * after it has read the list, and not before it has stood in the list for
 * longer than that. So whoever takes a part has read a list with all others
 * that do.
 */
class FleetSize {
 public:
  /** How long a list that was read stands for the fleet: two reads, one of
   * which fails. */
  static constexpr std::chrono::milliseconds kListHolds{22000};
  /** By then an instance that joins is known to all that take a part. */
  static constexpr std::chrono::milliseconds kKnownToAll =
      kListHolds + std::chrono::milliseconds(5000);
  /** By then a list that is being written, by a fleet that starts or after the
   * store has lost entries, was read whole. */
  static constexpr std::chrono::milliseconds kListSettles{8000};

  /** @param first_start the whole fleet starts for the first time, and this
   * instance with it. */
  explicit FleetSize(bool first_start = false) : first_start_(first_start) {}

  /** The list was read. @param list what it says. @param now the time. */
  void NoteList(FleetList list, Clock::time_point now);
  /** This instance is the only one, by its settings. */
  void SetAlone() { alone_ = true; }

  /** @param now the time. @return instances to divide by; none: this instance
   * may take no part. */
  std::optional<int> Parts(Clock::time_point now) const;
  /** @return instances in the last list; 0: none was read. */
  int listed() const;
  /** @param now the time. @return instances in the largest list of late; none:
   * it may not have been read whole yet. */
  std::optional<int> Settled(Clock::time_point now) const;

 private:
  struct Read {
    Clock::time_point at;
    int instances = 0;
  };

  bool first_start_;
  bool alone_ = false;
  std::optional<Clock::time_point> first_read_;
  std::optional<Clock::time_point> listed_since_;  ///< This instance.
  std::deque<Read> reads_;  ///< Oldest first; those of kListHolds.
};

}  // namespace turmeric::routing
