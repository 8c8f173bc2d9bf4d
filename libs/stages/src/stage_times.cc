#include "turmeric/stages/stage_times.h"

#include <cstdint>

namespace turmeric::stages {

using std::chrono::milliseconds;

namespace {

/** Assumed of a service before its first stage was seen: one call with a
 * short wait. */
constexpr double kFirstGuessMs = 300;
/** Weight of the newest stage: a dozen of them, a second or two of one
 * instance's requests, carry most of the average. */
constexpr double kNewest = 0.15;

}  // namespace

void StageTimes::Note(const std::string& service, milliseconds took,
                      bool could_be_in_time) {
  double& ms = ms_.try_emplace(service, kFirstGuessMs).first->second;
  const auto newest = static_cast<double>(took.count());
  // Guard: with a long estimate no request seems able to be in time. If only
  // such requests counted, the estimate of an overload would stay for ever, and
  // every request after it would be planned as late.
  if (!could_be_in_time && newest > ms) return;
  ms += kNewest * (newest - ms);
}

milliseconds StageTimes::Expected(std::string_view service) const {
  const auto it = ms_.find(service);
  const double ms = it == ms_.end() ? kFirstGuessMs : it->second;
  return milliseconds(static_cast<int64_t>(ms));
}

}  // namespace turmeric::stages
