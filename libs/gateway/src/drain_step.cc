#include "turmeric/gateway/drain_step.h"

#include <algorithm>

namespace turmeric::gateway {

using std::chrono::milliseconds;

namespace {

/**
 * Time reserved for sending the final answers and writing the releases of their
 * claims: two round trips of 250 ms to a distant caller or a slow store. At
 * most half of the drain timeout.
 */
constexpr milliseconds kFinalAnswerTime{500};

}  // namespace

DrainStep NextDrainStep(const DrainStatus& status) {
  if (status.elapsed < status.grace) return DrainStep::kServe;
  const milliseconds since_grace = status.elapsed - status.grace;
  const bool done = !status.work_in_flight && !status.answers_unsent;
  if (done || since_grace >= status.timeout) return DrainStep::kExit;
  const milliseconds answer_time =
      std::min(kFinalAnswerTime, status.timeout / 2);
  return since_grace >= status.timeout - answer_time
             ? DrainStep::kAnswerRemaining
             : DrainStep::kDrainInFlight;
}

}  // namespace turmeric::gateway
