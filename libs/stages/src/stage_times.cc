#include "turmeric/stages/stage_times.h"

#include <cstdint>

namespace turmeric::stages {

using std::chrono::milliseconds;

namespace {

/** Duration assumed for a service before its first stage: one call with a short
 * wait. */
constexpr double kInitialDurationMs = 300;
/** Weight of a new stage in the average: the last dozen stages, one or two
 * seconds of one instance's requests, dominate it. */
constexpr double kSampleWeight = 0.15;

}  // namespace

void StageTimes::Note(const std::string& service, milliseconds took,
                      bool could_be_in_time) {
  double& ms = ms_.try_emplace(service, kInitialDurationMs).first->second;
  const auto newest = static_cast<double>(took.count());
  // Guard: with a long estimate, no request can be in time by the plan. If only
  // requests that can be in time counted, the estimate of an overload would
  // remain permanently, and every later request would be planned as late.
  if (!could_be_in_time && newest > ms) return;
  ms += kSampleWeight * (newest - ms);
}

milliseconds StageTimes::Expected(std::string_view service) const {
  const auto it = ms_.find(service);
  const double ms = it == ms_.end() ? kInitialDurationMs : it->second;
  return milliseconds(static_cast<int64_t>(ms));
}

}  // namespace turmeric::stages
