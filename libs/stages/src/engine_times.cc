#include "turmeric/stages/engine_times.h"

#include <algorithm>
#include <cstdint>

namespace turmeric::stages {

using std::chrono::milliseconds;

namespace {

/** Assumed beyond the prompt before the first request was seen. */
constexpr double kFirstGuessMs = 200;

}  // namespace

void EngineTimes::Note(const std::string& service, milliseconds prompt,
                       milliseconds took) {
  utils::TailEstimate& beyond =
      beyond_ms_.try_emplace(service, utils::TailEstimate{kFirstGuessMs, 0})
          .first->second;
  utils::Note(beyond, static_cast<double>((took - prompt).count()));
}

milliseconds EngineTimes::Expected(std::string_view service,
                                   milliseconds prompt) const {
  const auto it = beyond_ms_.find(std::string(service));
  const double beyond =
      it == beyond_ms_.end() ? kFirstGuessMs : utils::Expected(it->second);
  return std::max(milliseconds(0),
                  prompt + milliseconds(static_cast<int64_t>(beyond)));
}

}  // namespace turmeric::stages
