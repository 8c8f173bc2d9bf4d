#pragma once

#include <cmath>

namespace turmeric::utils {

/** What all but few of a series of figures stay below: a moving mean and the
 * moving mean of what differs from it, as in the retransmission timer of
 * TCP. */
struct TailEstimate {
  double mean = 0;
  double deviation = 0;
};

/** @param estimate takes the figure in. @param figure the newest one. */
inline void Note(TailEstimate& estimate, double figure) {
  /** Weight of the newest figure: two dozen carry most of the estimate. */
  constexpr double kNewest = 0.1;
  const double error = figure - estimate.mean;
  estimate.mean += kNewest * error;
  estimate.deviation += kNewest * (std::abs(error) - estimate.deviation);
}

/** @param estimate of a series. @return what few of its figures exceed. */
inline double Expected(const TailEstimate& estimate) {
  /** Half of those of TCP: a low estimate costs one request, a high one
   * all. */
  constexpr double kDeviations = 2;
  return estimate.mean + kDeviations * estimate.deviation;
}

}  // namespace turmeric::utils
