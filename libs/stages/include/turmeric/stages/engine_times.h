#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <unordered_map>

namespace turmeric::stages {

/**
 * Estimates the time that engines take to a request's first event, per service.
 * Stages are planned to end that long before the answer is due. If the estimate
 * is too short, requests are late at the engine; if it is too long, requests
 * that could still be in time count as late and are served after all others.
 */
class EngineTimes {
 public:
  /**
   * Records one request.
   * @param service of the engine. @param prompt estimated time to read the
   * whole prompt. @param took time from the end of the stages to the first
   * event.
   */
  void Note(const std::string& service, std::chrono::milliseconds prompt,
            std::chrono::milliseconds took);
  /** @param service of the engine. @param prompt as for Note.
   * @return time that few requests exceed; never negative. */
  std::chrono::milliseconds Expected(std::string_view service,
                                     std::chrono::milliseconds prompt) const;

 private:
  /** Time beyond the estimate for the prompt; negative if parts are cached. */
  struct Excess {
    double mean_ms = 0;
    double deviation_ms = 0;
  };
  std::unordered_map<std::string, Excess> excess_;
};

}  // namespace turmeric::stages
