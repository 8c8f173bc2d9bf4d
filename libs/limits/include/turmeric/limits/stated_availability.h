#pragma once

#include <algorithm>

#include "turmeric/limits/clock.h"

namespace turmeric::limits {

/**
 * Whether one upstream process takes requests from this instance, as its
 * answers state: it may leave, which is final, or ask for a rest. Rests overlap
 * if answers to several requests ask for one; the one that ends last counts.
 */
class StatedAvailability {
 public:
  /** Records that the process leaves. @return true if that was not known. */
  bool SetLeaving();
  /**
   * Records a rest.
   * @param until end of the rest.
   * @param now current time.
   * @return true if a rest begins; false if it ends at once or prolongs one.
   */
  bool Rest(Clock::time_point until, Clock::time_point now);
  /**
   * Records that the process wants a rest from another instance, and may turn
   * requests of this one away, too.
   * @param until end of that rest.
   */
  void PeerRest(Clock::time_point until) {
    peer_rests_until_ = std::max(peer_rests_until_, until);
  }
  /** @return end of the last rest from another instance. */
  Clock::time_point peer_rests_until() const { return peer_rests_until_; }
  /** @return true if the process leaves. */
  bool leaving() const { return leaving_; }
  /** @return end of the last rest; a time in the past if there is none. */
  Clock::time_point rests_until() const { return rests_until_; }
  /**
   * Called when a request is sent to the process.
   * @param now current time.
   * @return true if this is the first request after a rest.
   */
  bool EndRest(Clock::time_point now);

 private:
  bool leaving_ = false;
  bool has_rested_ = false;  ///< No request was sent since the rest.
  Clock::time_point rests_until_;
  Clock::time_point peer_rests_until_;
};

}  // namespace turmeric::limits
