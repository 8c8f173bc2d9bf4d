#include "turmeric/connections/loan_survey.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace turmeric::connections {
namespace {

const std::vector<std::string> kInstances = {"x", "y"};

TEST_CASE("a survey ends with the answer of the last instance") {
  LoanSurvey survey;
  const uint64_t number = survey.Begin(kInstances, Clock::now());
  CHECK_FALSE(survey.OnAnswer(number, "x", false));
  CHECK_FALSE(survey.OnAnswer(number, "x", false));
  CHECK(survey.OnAnswer(number, "y", false));
  // A late repetition completes nothing again.
  CHECK_FALSE(survey.OnAnswer(number, "y", false));
}

// Guards against connections that are lent twice while an instance that has
// them on loan is frozen or cut off.
TEST_CASE("an instance with loans, or without an answer, stops the survey") {
  LoanSurvey survey;
  const auto now = Clock::now();
  const uint64_t first = survey.Begin(kInstances, now);
  CHECK_FALSE(survey.OnAnswer(first, "x", true));
  CHECK_FALSE(survey.OnAnswer(first, "y", false));
  CHECK_FALSE(survey.MayBegin(now));
  const auto later = now + LoanSurvey::kInterval;
  REQUIRE(survey.MayBegin(later));
  const uint64_t second = survey.Begin(kInstances, later);
  CHECK_FALSE(survey.OnAnswer(second, "x", false));
  // A statement that was made before the survey began.
  CHECK_FALSE(survey.OnAnswer(first, "y", false));
  CHECK(survey.OnAnswer(second, "y", false));
}

}  // namespace
}  // namespace turmeric::connections
