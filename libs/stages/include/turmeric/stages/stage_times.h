#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace turmeric::stages {

/**
 * How long stages take now, by service: waiting and calls together. Answers
 * sustained overload: with a fixed estimate, requests pass their first stages
 * with time that seems enough, wait at the last ones, and nearly all are a
 * little late. With the measured time, those that cannot be in time count as
 * such from their first stage on, and the others keep their target.
 */
class StageTimes {
 public:
  /**
   * @param service the stage's service.
   * @param took from the hand-over of a stage's pieces to the last result.
   * @param could_be_in_time whether the request could still meet its target at
   *     the hand-over. Others wait behind those that can: what they take counts
   *     only if it is less than expected.
   */
  void Note(const std::string& service, std::chrono::milliseconds took,
            bool could_be_in_time);
  /** @param service a stage's service. @return the time to plan with. */
  std::chrono::milliseconds Expected(std::string_view service) const;

 private:
  std::map<std::string, double, std::less<>> ms_;  ///< Moving averages.
};

}  // namespace turmeric::stages
