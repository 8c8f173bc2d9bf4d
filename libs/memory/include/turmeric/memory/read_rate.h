#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace turmeric::memory {

/**
 * How fast a receiver takes the bytes that wait for it.
 *
 * The load that it handles: callers that read a byte a second, or nothing, and
 * so hold buffers until their deadlines. The window of 10 s is longer than the
 * pauses of a sound caller on a lossy link.
 */
class ReadRate {
 public:
  using Clock = std::chrono::steady_clock;

  /** Time over which the rate is taken. */
  static constexpr std::chrono::seconds kWindow{10};

  /**
   * Records a sample; at most a few each second.
   * @param sent bytes that the receiver has taken so far.
   * @param waiting true if further bytes wait for the receiver.
   * @param now time of the sample.
   */
  void Sample(uint64_t sent, bool waiting, Clock::time_point now);
  /** @return bytes per second over the window; nullopt: no bytes have waited
   * for the whole window. */
  std::optional<double> rate() const;

 private:
  struct Point {
    Clock::time_point at;
    uint64_t sent = 0;
  };
  std::deque<Point> points_;
};

}  // namespace turmeric::memory
