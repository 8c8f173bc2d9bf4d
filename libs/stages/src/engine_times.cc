#include "turmeric/stages/engine_times.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace turmeric::stages {

using std::chrono::milliseconds;

namespace {

/** Excess assumed for a service before its first request. */
constexpr double kInitialExcessMs = 200;
/** Weight of a new request in mean and deviation. */
constexpr double kSampleWeight = 0.1;
/** Number of deviations added to the mean, half as many as in TCP's
 * retransmission timer: an estimate that is too short makes one request late,
 * whereas one that is too long makes all requests count as late sooner. */
constexpr double kDeviations = 2;

}  // namespace

void EngineTimes::Note(const std::string& service, milliseconds prompt,
                       milliseconds took) {
  Excess& excess =
      excess_.try_emplace(service, Excess{kInitialExcessMs, 0}).first->second;
  const double error =
      static_cast<double>((took - prompt).count()) - excess.mean_ms;
  excess.mean_ms += kSampleWeight * error;
  excess.deviation_ms +=
      kSampleWeight * (std::abs(error) - excess.deviation_ms);
}

milliseconds EngineTimes::Expected(std::string_view service,
                                   milliseconds prompt) const {
  const auto it = excess_.find(std::string(service));
  const double excess =
      it == excess_.end()
          ? kInitialExcessMs
          : it->second.mean_ms + kDeviations * it->second.deviation_ms;
  return std::max(milliseconds(0),
                  prompt + milliseconds(static_cast<int64_t>(excess)));
}

}  // namespace turmeric::stages
