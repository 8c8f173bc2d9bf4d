#pragma once

#include "turmeric/balancing/load_report.h"

namespace turmeric::balancing {

/** One measured exchange with an upstream. */
struct SpeedSample {
  /** Time to the answer for one unit of work, divided by the pace that was in
   * force, ms. */
  double ms = 0;
  /** Waiting before the service, as a multiple of the service time. */
  double waited = 0;
};

/**
 * Learns the service time of one upstream for a unit of work. The load that it
 * handles: upstreams of one service that are up to several times as slow as
 * others, and answers that arrive a few times a second or less. The service
 * time is the ratio of two moving averages, the time to the answer and the
 * waiting, because the waiting of a single request is known only approximately.
 */
class SpeedEstimate {
 public:
  /**
   * Adds a sample; ignores one with a value that is negative or not finite.
   * @param sample of a complete exchange. @param now current time.
   */
  void Add(SpeedSample sample, Clock::time_point now);

  /**
   * @param mean service time of the upstreams of the service, ms.
   * @param now current time.
   * @return the service time for a unit of work, ms. Without new samples it
   *     approaches `mean`, so that an upstream that was slow is tried again.
   */
  double At(double mean, Clock::time_point now) const;

  /** @return the service time by the samples alone, ms; 0 without samples. */
  double learned() const;
  /** @return the number of samples. */
  int samples() const { return samples_; }
  /** @return the time of the last sample. */
  Clock::time_point sampled_at() const { return sampled_at_; }

 private:
  double ms_ = 0;
  double rounds_ = 1;  ///< Moving average of 1 + waited.
  int samples_ = 0;
  Clock::time_point sampled_at_;
};

}  // namespace turmeric::balancing
