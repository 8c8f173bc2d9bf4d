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
   * @param took from the hand-over of a stage's pieces to the last result, of
   *     a request that could still meet its target at the hand-over.
   */
  void Note(const std::string& service, std::chrono::milliseconds took);
  /** @param service a stage's service. @return the time to plan with. */
  std::chrono::milliseconds Expected(std::string_view service) const;

 private:
  std::map<std::string, double, std::less<>> ms_;  ///< Moving averages.
};

}  // namespace turmeric::stages
