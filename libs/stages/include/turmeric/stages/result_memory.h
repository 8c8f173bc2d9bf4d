#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "turmeric/stages/piece.h"

namespace turmeric::stages {

/**
 * Tracks the memory of one upstream that results take: reserved by calls in
 * progress, then held by each result until it is released or expires. The
 * caller passes in the time.
 */
class ResultMemory {
 public:
  /** Reserves memory for a call that starts. @param bytes of its results. */
  void Reserve(int64_t bytes) { reserved_ += bytes; }
  /** Ends the reservation of a call. @param bytes as reserved. */
  void Unreserve(int64_t bytes) { reserved_ -= bytes; }
  /** Counts a result that was made. @param handle of the result. @param bytes
   * its size. @param until time at which the upstream deletes the result unless
   * it is released earlier. */
  void Hold(const std::string& handle, int64_t bytes, Clock::time_point until);
  /** Removes a result. @param handle of the result; ignored if unknown. */
  void Release(const std::string& handle) { held_.erase(handle); }
  /**
   * Records that the upstream had no memory for a piece that should have
   * fitted: it holds results that are not tracked here, made for processes that
   * have ended, or results larger than configured.
   * @param left memory that seemed available, bytes; counts as used for a
   *     while. @param now current time.
   */
  void NoteFull(int64_t left, Clock::time_point now);
  /** @param now current time. @return bytes in use. */
  int64_t Used(Clock::time_point now);

 private:
  struct Held {
    int64_t bytes = 0;
    Clock::time_point until;
  };
  std::unordered_map<std::string, Held> held_;  ///< By handle.
  int64_t reserved_ = 0;
  int64_t untracked_ = 0;  ///< Bytes of results not tracked here.
  Clock::time_point untracked_until_;
};

}  // namespace turmeric::stages
