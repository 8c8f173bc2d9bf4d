#include "turmeric/fairness/work_estimate.h"

#include <algorithm>

namespace turmeric::fairness {

namespace {

constexpr double kWeightOfShorter = 0.25;
/** A lasting change of the work is learned within about a thousand answers. */
constexpr double kWeightOfLonger = 1.0 / 1024;
constexpr double kMinWork = 1;
constexpr double kMaxWork = 60'000;

}  // namespace

void WorkEstimate::Note(std::chrono::duration<double, std::milli> time) {
  const double sample = std::clamp(time.count(), kMinWork, kMaxWork);
  if (!has_sample_) {
    has_sample_ = true;
    work_ = sample;
    return;
  }
  const double weight = sample < work_ ? kWeightOfShorter : kWeightOfLonger;
  work_ += weight * (sample - work_);
}

}  // namespace turmeric::fairness
