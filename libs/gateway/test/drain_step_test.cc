#include "turmeric/gateway/drain_step.h"

#include <catch2/catch.hpp>

using std::chrono::milliseconds;
using turmeric::gateway::DrainStatus;
using turmeric::gateway::DrainStep;
using turmeric::gateway::NextDrainStep;

namespace {

DrainStep Step(int elapsed_ms, bool work_in_flight, bool answers_unsent,
               int timeout_ms = 10'000) {
  return NextDrainStep({milliseconds(elapsed_ms), milliseconds(2000),
                        milliseconds(timeout_ms), work_in_flight,
                        answers_unsent});
}

}  // namespace

TEST_CASE("a planned stop answers requests in flight before its timeout") {
  // Guards against final answers that are lost at the exit. An instance with a
  // long request in flight serves during the grace period, then lets the
  // request continue, answers it while there is time to send the answer, and
  // exits once the answer is sent.
  CHECK(Step(0, false, false) == DrainStep::kServe);
  CHECK(Step(1999, true, false) == DrainStep::kServe);
  CHECK(Step(2000, false, false) == DrainStep::kExit);
  CHECK(Step(2000, true, false) == DrainStep::kDrainInFlight);
  CHECK(Step(2000, false, true) == DrainStep::kDrainInFlight);
  CHECK(Step(11'499, true, false) == DrainStep::kDrainInFlight);
  CHECK(Step(11'500, true, false) == DrainStep::kAnswerRemaining);
  CHECK(Step(11'600, false, true) == DrainStep::kAnswerRemaining);
  CHECK(Step(11'600, false, false) == DrainStep::kExit);
  CHECK(Step(12'000, true, true) == DrainStep::kExit);
}

TEST_CASE("a short drain timeout is split between requests and final answers") {
  // With a timeout of 600 ms requests get the first half to complete;
  // a fixed reserve of 500 ms would abort them after 100 ms.
  CHECK(Step(2299, true, false, 600) == DrainStep::kDrainInFlight);
  CHECK(Step(2300, true, false, 600) == DrainStep::kAnswerRemaining);
  CHECK(Step(2600, true, false, 600) == DrainStep::kExit);
  CHECK(Step(2000, true, false, 0) == DrainStep::kExit);
}
