#include "turmeric/gateway/drain_step.h"

#include <algorithm>

namespace turmeric::gateway {

using std::chrono::milliseconds;

namespace {

/** Time for the final answers and the claims given up with them to go out:
 * two round trips of 250 ms, to a caller far away or a slow store. Of a short
 * drain timeout, half. */
constexpr milliseconds kFinalAnswers{500};

}  // namespace

DrainStep NextDrainStep(const DrainView& view) {
  if (view.since_begin < view.grace) return DrainStep::kServe;
  const milliseconds waited = view.since_begin - view.grace;
  const bool done = !view.work_open && !view.unsent;
  if (done || waited >= view.timeout) return DrainStep::kExit;
  const milliseconds kept = std::min(kFinalAnswers, view.timeout / 2);
  return waited >= view.timeout - kept ? DrainStep::kAnswerOpen
                                       : DrainStep::kFinish;
}

}  // namespace turmeric::gateway
