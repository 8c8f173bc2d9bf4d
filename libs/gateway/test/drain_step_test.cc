#include "turmeric/gateway/drain_step.h"

#include <catch2/catch.hpp>

using std::chrono::milliseconds;
using turmeric::gateway::DrainStep;
using turmeric::gateway::DrainView;
using turmeric::gateway::NextDrainStep;

namespace {

DrainStep Step(int since_begin_ms, bool work_open, bool unsent,
               int timeout_ms = 10'000) {
  return NextDrainStep({milliseconds(since_begin_ms), milliseconds(2000),
                        milliseconds(timeout_ms), work_open, unsent});
}

}  // namespace

TEST_CASE("a planned stop answers what is open before its time is up") {
  // An instance is stopped with a long request open. It serves on while the
  // balancer learns of it, lets the request go on as long as it can, answers
  // it while there is time for the answer to leave, and exits as soon as it
  // has. Answered only when the time was up, the answer was never sent.
  CHECK(Step(0, false, false) == DrainStep::kServe);
  CHECK(Step(1999, true, false) == DrainStep::kServe);
  CHECK(Step(2000, false, false) == DrainStep::kExit);
  CHECK(Step(2000, true, false) == DrainStep::kFinish);
  CHECK(Step(2000, false, true) == DrainStep::kFinish);
  CHECK(Step(11'499, true, false) == DrainStep::kFinish);
  CHECK(Step(11'500, true, false) == DrainStep::kAnswerOpen);
  CHECK(Step(11'600, false, true) == DrainStep::kAnswerOpen);
  CHECK(Step(11'600, false, false) == DrainStep::kExit);
  CHECK(Step(12'000, true, true) == DrainStep::kExit);
}

TEST_CASE("a short drain timeout is shared by requests and their answers") {
  // An operator allows 600 ms. Requests get the first half to end by
  // themselves; without this they would all be cut at once.
  CHECK(Step(2299, true, false, 600) == DrainStep::kFinish);
  CHECK(Step(2300, true, false, 600) == DrainStep::kAnswerOpen);
  CHECK(Step(2600, true, false, 600) == DrainStep::kExit);
  CHECK(Step(2000, true, false, 0) == DrainStep::kExit);
}
