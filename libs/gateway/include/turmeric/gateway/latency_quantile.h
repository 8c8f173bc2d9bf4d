#pragma once

#include <cstdint>

namespace turmeric::gateway {

/**
 * A running estimate of one latency quantile in constant space (stochastic
 * approximation: up by q·step on a larger sample, down by (1-q)·step on a
 * smaller one, the step being a share of the estimate).
 */
class LatencyQuantile {
 public:
  /** @param quantile in (0, 1). */
  explicit LatencyQuantile(double quantile) : quantile_(quantile) {}
  /** @param ms one sample. */
  void Add(double ms) {
    constexpr double kStepShare = 0.05;
    if (samples_++ == 0) estimate_ms_ = ms;
    const double step = kStepShare * estimate_ms_;
    estimate_ms_ +=
        ms > estimate_ms_ ? quantile_ * step : -(1 - quantile_) * step;
  }
  /** @return the estimate in ms; 0 until there are enough samples. */
  double estimate_ms() const {
    constexpr int kEnoughSamples = 20;
    return samples_ < kEnoughSamples ? 0 : estimate_ms_;
  }

 private:
  double quantile_;
  double estimate_ms_ = 0;
  int64_t samples_ = 0;
};

}  // namespace turmeric::gateway
