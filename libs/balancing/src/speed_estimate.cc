#include "turmeric/balancing/speed_estimate.h"

#include <algorithm>
#include <cmath>

namespace turmeric::balancing {

namespace {

/** Weight of a new sample: a change of the speed is learned within about ten
 * requests, and a single long request does not change the order of upstreams.
 */
constexpr double kSampleWeight = 0.1;
/** A sample counts at most as this multiple of the estimate: one answer that
 * was held up does not make an upstream the slowest for many requests. */
constexpr double kMaxSampleRatio = 4.0;
/** Only the first samples weigh more, so that the count may end. */
constexpr int kMaxSamples = 1000;
/** Time constant with which the estimate approaches the mean: callers send to a
 * slow upstream again within some seconds after it was last tried. */
constexpr double kDecayMs = 10'000.0;

}  // namespace

void SpeedEstimate::Add(SpeedSample sample, Clock::time_point now) {
  const bool valid = std::isfinite(sample.ms) && sample.ms > 0 &&
                     std::isfinite(sample.waited) && sample.waited >= 0;
  if (!valid) return;
  const double rounds = 1.0 + sample.waited;
  if (samples_ > 0) {
    sample.ms = std::min(sample.ms, kMaxSampleRatio * learned() * rounds);
  }
  const double weight = std::max(kSampleWeight, 1.0 / (samples_ + 1));
  ms_ += weight * (sample.ms - ms_);
  rounds_ += weight * (rounds - rounds_);
  samples_ = std::min(samples_ + 1, kMaxSamples);
  sampled_at_ = now;
}

double SpeedEstimate::learned() const {
  return samples_ == 0 ? 0 : ms_ / rounds_;
}

double SpeedEstimate::At(double mean, Clock::time_point now) const {
  if (samples_ == 0) return mean;
  const double age_ms =
      std::chrono::duration<double, std::milli>(now - sampled_at_).count();
  const double weight = std::exp(-std::max(0.0, age_ms) / kDecayMs);
  return mean + weight * (learned() - mean);
}

}  // namespace turmeric::balancing
