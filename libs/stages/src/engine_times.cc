#include "turmeric/stages/engine_times.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace turmeric::stages {

using std::chrono::milliseconds;

namespace {

/** Assumed beyond the prompt before the first request was seen. */
constexpr double kFirstGuessMs = 200;
/** Weight of the newest request in mean and deviation. */
constexpr double kNewest = 0.1;
/** Deviations above the mean, as in the retransmission timer of TCP but for
 * half of them: a late estimate costs one request, a long one all. */
constexpr double kDeviations = 2;

}  // namespace

void EngineTimes::Note(const std::string& service, milliseconds prompt,
                       milliseconds took) {
  Beyond& beyond =
      beyond_.try_emplace(service, Beyond{kFirstGuessMs, 0}).first->second;
  const double error =
      static_cast<double>((took - prompt).count()) - beyond.mean_ms;
  beyond.mean_ms += kNewest * error;
  beyond.deviation_ms += kNewest * (std::abs(error) - beyond.deviation_ms);
}

milliseconds EngineTimes::Expected(std::string_view service,
                                   milliseconds prompt) const {
  const auto it = beyond_.find(std::string(service));
  const double beyond =
      it == beyond_.end()
          ? kFirstGuessMs
          : it->second.mean_ms + kDeviations * it->second.deviation_ms;
  return std::max(milliseconds(0),
                  prompt + milliseconds(static_cast<int64_t>(beyond)));
}

}  // namespace turmeric::stages
