#pragma once

#include <chrono>
#include <cstddef>

#include "turmeric/stages/piece.h"

namespace turmeric::stages {

/**
 * Measures the rate at which calls take late pieces from a queue, that is,
 * pieces served only after all pieces that can still be in time. Under
 * sustained overload hardly any late pieces are served; the rate makes it
 * possible to refuse them at once instead of at their deadline. The caller
 * passes in the time.
 */
class LatePieceRate {
 public:
  /** Must be called several times a second while any piece waits.
   * @param waiting true if late pieces wait. @param now current time. */
  void NoteWaiting(bool waiting, Clock::time_point now);
  /** Records that a call took late pieces. @param pieces number of late pieces.
   * @param now current time. */
  void NoteTaken(size_t pieces, Clock::time_point now);
  /**
   * @param position of a late piece among the late pieces, from 0.
   * @param now current time.
   * @return estimated time at which a call takes the piece; `now` until late
   *     pieces have waited for a whole averaging window.
   */
  Clock::time_point ReachedAt(size_t position, Clock::time_point now) const;

 private:
  double Decay(Clock::time_point now) const;

  bool waiting_ = false;
  Clock::time_point updated_at_;
  Clock::time_point waiting_since_;  ///< Late pieces have waited ever since.
  double taken_ = 0;  ///< Late pieces taken, decaying exponentially.
  Clock::time_point counted_at_;
};

}  // namespace turmeric::stages
