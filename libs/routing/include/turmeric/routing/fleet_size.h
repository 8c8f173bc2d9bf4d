#pragma once

#include <chrono>
#include <deque>
#include <optional>

#include "turmeric/routing/upstream.h"

namespace turmeric::routing {

/** The size of the fleet according to one read of its instance list. */
struct FleetList {
  int instances = 0;  ///< Includes this instance, whether listed or not.
  /** True if the list contains this instance, so that other instances can read
   * its entry. */
  bool self_listed = false;
};

/**
 * The number of instances by which a fleet-wide bound is divided.
 *
 * The instance list is read seldom and may be stale, and an instance can be
 * disconnected from the store while others join. An instance takes its part of
 * a bound only within kListValidity after it has read the list, and only after
 * it has been in the list for kJoinVisibleAfter (for kListSettleTime if the
 * whole fleet starts for the first time). Each instance that takes a part has
 * therefore read a list that contains all other instances that take a part.
 */
class FleetSize {
 public:
  /** How long a list stays valid after it was read: two read intervals, so that
   * one read may fail. */
  static constexpr std::chrono::milliseconds kListValidity{22000};
  /** Time from the listing of a new instance until every instance that takes a
   * part of a bound has read a list that contains the new one. */
  static constexpr std::chrono::milliseconds kJoinVisibleAfter =
      kListValidity + std::chrono::milliseconds(5000);
  /** Time after the first read by which a complete list has been read. The list
   * may be incomplete at the first read, while a fleet starts or after the
   * store has lost entries. */
  static constexpr std::chrono::milliseconds kListSettleTime{8000};

  /** @param first_start true if the whole fleet, including this instance,
   * starts for the first time. */
  explicit FleetSize(bool first_start = false) : first_start_(first_start) {}

  /** Records a read of the list. @param list its content. @param now current
   * time. */
  void NoteList(FleetList list, Clock::time_point now);
  /** Marks this instance as the only one, according to its settings. */
  void SetSingleInstance() { single_instance_ = true; }

  /** @param now current time. @return instances to divide by; nullopt: this
   * instance may not take a part. */
  std::optional<int> Divisor(Clock::time_point now) const;
  /** @return instances in the last list; 0 if no list was read; 1 if this
   * instance is marked as the only one. */
  int listed() const;
  /** @return instances in the largest of the lists read within kListValidity
   * before the last read; 0 if no list was read; 1 if this instance is marked
   * as the only one. */
  int largest_listed() const;
  /** @param now current time. @return instances in the largest of the lists
   * read within kListValidity before the last read; nullopt: the list may not
   * have been read in full yet. */
  std::optional<int> SettledSize(Clock::time_point now) const;

 private:
  struct Read {
    Clock::time_point at;
    int instances = 0;
  };

  bool first_start_;
  bool single_instance_ = false;
  std::optional<Clock::time_point> first_read_;
  /** When this instance was first found in the list. */
  std::optional<Clock::time_point> listed_since_;
  /** Reads within kListValidity before the last one, oldest first. */
  std::deque<Read> reads_;
};

}  // namespace turmeric::routing
