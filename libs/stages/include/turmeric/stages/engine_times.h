#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <unordered_map>

namespace turmeric::stages {

/**
 * How long engines take to a request's first event, learnt for each service.
 * Stages are planned to end that long before the answer is due. Too short an
 * estimate makes requests late at the engine; too long a one makes those look
 * late that could still be in time, and puts them behind all others.
 */
class EngineTimes {
 public:
  /**
   * @param service of the engine. @param prompt estimate for reading the whole
   * prompt. @param took from when the stages were done to the first event.
   */
  void Note(const std::string& service, std::chrono::milliseconds prompt,
            std::chrono::milliseconds took);
  /** @param service of the engine. @param prompt as for Note.
   * @return time that all but few requests take at most; never negative. */
  std::chrono::milliseconds Expected(std::string_view service,
                                     std::chrono::milliseconds prompt) const;

 private:
  /** Beyond the estimate for the prompt; negative where parts are cached. */
  struct Beyond {
    double mean_ms = 0;
    double deviation_ms = 0;
  };
  std::unordered_map<std::string, Beyond> beyond_;
};

}  // namespace turmeric::stages
