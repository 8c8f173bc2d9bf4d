#pragma once

#include <chrono>
#include <cstddef>

#include "turmeric/stages/piece.h"

namespace turmeric::stages {

/**
 * How fast a queue gets to its late pieces, the ones that are behind all that
 * can still be in time. Answers sustained overload: hardly any are reached
 * then, and their callers had better hear of it now than at their deadline.
 * Time is passed in.
 */
class LateRate {
 public:
  /** To be called several times a second while any piece waits.
   * @param waiting late pieces wait now, or not. @param now the time. */
  void NoteWaiting(bool waiting, Clock::time_point now);
  /** @param pieces late ones that a call has taken. @param now the time. */
  void NoteTaken(size_t pieces, Clock::time_point now);
  /**
   * @param position of a late piece among the late, from 0. @param now the
   * time.
   * @return when it will be reached; `now` while too little is known.
   */
  Clock::time_point ReachedAt(size_t position, Clock::time_point now) const;

 private:
  double Decay(Clock::time_point now) const;

  bool waiting_ = false;
  Clock::time_point noted_at_;
  Clock::time_point since_;  ///< Late pieces wait without a break.
  double taken_ = 0;         ///< Pieces, fading with time.
  Clock::time_point counted_at_;
};

}  // namespace turmeric::stages
