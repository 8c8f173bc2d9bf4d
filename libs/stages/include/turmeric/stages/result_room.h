#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "turmeric/stages/piece.h"

namespace turmeric::stages {

/**
 * The memory that one upstream has for results: reserved by calls in progress,
 * then held by each result until it is released or lapses. Time is passed in.
 */
class ResultRoom {
 public:
  /** @param bytes results that a call which begins will make. */
  void Reserve(int64_t bytes) { reserved_ += bytes; }
  /** @param bytes as reserved; the call has ended. */
  void Unreserve(int64_t bytes) { reserved_ -= bytes; }
  /** @param handle a result made. @param bytes its size.
   * @param till when the upstream drops it by itself. */
  void Hold(const std::string& handle, int64_t bytes, Clock::time_point till);
  /** @param handle a result that was released; unknown ones are ignored. */
  void Forget(const std::string& handle) { held_.erase(handle); }
  /**
   * The upstream had no room for a piece that was thought to fit: results lie
   * there that are not known here, of processes that have ended, or larger
   * ones than configured.
   * @param left room that was thought to be left, bytes; counts as taken for
   * a while. @param now the time.
   */
  void NoteFull(int64_t left, Clock::time_point now);
  /** @param now the time. @return bytes taken. */
  int64_t Used(Clock::time_point now);

 private:
  struct Held {
    int64_t bytes = 0;
    Clock::time_point till;
  };
  std::unordered_map<std::string, Held> held_;  ///< By handle.
  int64_t reserved_ = 0;
  int64_t unknown_ = 0;  ///< Bytes of results not known here.
  Clock::time_point unknown_till_;
};

}  // namespace turmeric::stages
