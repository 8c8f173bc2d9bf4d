#pragma once

#include <cstdint>
#include <set>
#include <span>
#include <string>

#include "turmeric/connections/loan.h"

namespace turmeric::connections {

/**
 * Finds out whether any instance still uses connections that an earlier lender
 * has lent: asks all instances, and awaits the answer of each. An instance that
 * does not answer may hold loans. Time is passed in by the caller.
 */
class LoanSurvey {
 public:
  /** Least time between two surveys. */
  static constexpr std::chrono::milliseconds kInterval{500};

  /** @param now current time. @return true if a survey may begin. */
  bool MayBegin(Clock::time_point now) const;
  /** Begins a survey, which replaces the last one.
   * @param instances that are asked. @param now current time.
   * @return its number, which the answers repeat. */
  uint64_t Begin(std::span<const std::string> instances, Clock::time_point now);
  /** Records an answer.
   * @param number of the survey that it answers; others are ignored.
   * @param instance that answered. @param has_loans true: it uses connections
   * on loan, or may soon.
   * @return true if this answer completes a survey that found no loans. */
  bool OnAnswer(uint64_t number, const std::string& instance, bool has_loans);
  /** @return when the last survey began. */
  Clock::time_point began_at() const { return began_at_; }

 private:
  uint64_t number_ = 0;
  Clock::time_point began_at_;
  std::set<std::string> awaited_;
};

}  // namespace turmeric::connections
