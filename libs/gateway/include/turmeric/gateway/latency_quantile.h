#pragma once

#include <cstdint>

namespace turmeric::gateway {

/**
 * Running estimate of one latency quantile in constant space by stochastic
 * approximation: a larger sample raises the estimate by q·step, a smaller one
 * lowers it by (1-q)·step, where step is a fixed share of the estimate.
 */
class LatencyQuantile {
 public:
  /** @param quantile in (0, 1). */
  explicit LatencyQuantile(double quantile) : quantile_(quantile) {}
  /** @param ms one latency sample. */
  void Add(double ms) {
    constexpr double kStepShare = 0.05;
    if (samples_++ == 0) estimate_ms_ = ms;
    const double step = kStepShare * estimate_ms_;
    estimate_ms_ +=
        ms > estimate_ms_ ? quantile_ * step : -(1 - quantile_) * step;
  }
  /** @return the estimate in ms; 0 before kMinSamples samples. */
  double estimate_ms() const {
    constexpr int kMinSamples = 20;
    return samples_ < kMinSamples ? 0 : estimate_ms_;
  }

 private:
  double quantile_;
  double estimate_ms_ = 0;
  int64_t samples_ = 0;
};

}  // namespace turmeric::gateway
