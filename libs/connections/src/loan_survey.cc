#include "turmeric/connections/loan_survey.h"

namespace turmeric::connections {

bool LoanSurvey::MayBegin(Clock::time_point now) const {
  return now - began_at_ >= kInterval;
}

uint64_t LoanSurvey::Begin(std::span<const std::string> instances,
                           Clock::time_point now) {
  began_at_ = now;
  awaited_ = {instances.begin(), instances.end()};
  return ++number_;
}

bool LoanSurvey::OnAnswer(uint64_t number, const std::string& instance,
                          bool has_loans) {
  if (number != number_) return false;
  // An instance with loans stays awaited, so that the survey does not complete.
  if (has_loans || awaited_.erase(instance) == 0) return false;
  return awaited_.empty();
}

}  // namespace turmeric::connections
