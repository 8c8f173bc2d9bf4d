#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace turmeric::stages {

/**
 * Estimates the current duration of stages per service, including the waiting
 * time. Needed under sustained overload: with a fixed estimate, requests pass
 * their first stages with seemingly enough time, wait at the last stages, and
 * nearly all are a little late. With the measured duration, requests that
 * cannot be in time count as late from their first stage on, and the others
 * meet their target.
 */
class StageTimes {
 public:
  /**
   * Records one stage.
   * @param service the stage's service.
   * @param took time from the start of a stage's pieces to the last result.
   * @param could_be_in_time whether the request could still meet its target at
   *     the start of the stage. Late requests wait behind all others: their
   *     duration counts only if it is below the estimate.
   */
  void Note(const std::string& service, std::chrono::milliseconds took,
            bool could_be_in_time);
  /** @param service a stage's service. @return the estimated duration. */
  std::chrono::milliseconds Expected(std::string_view service) const;

 private:
  std::map<std::string, double, std::less<>> ms_;  ///< Moving averages.
};

}  // namespace turmeric::stages
