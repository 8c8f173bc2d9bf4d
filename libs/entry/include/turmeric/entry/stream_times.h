#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>

#include "turmeric/utils/tail_estimate.h"

namespace turmeric::entry {

/**
 * How long the streams of each route last, from the request to the last event,
 * learnt from those that ended whole. A stopping instance takes none that it
 * would have to cut: with one fixed time for all, long chats were taken and
 * cut by the exit.
 */
class StreamTimes {
 public:
  /** @param route the stream's route. @param took from arrival to end. */
  void Note(const std::string& route, std::chrono::milliseconds took);
  /** @param route a route. @return time that few of its streams exceed; 0 if
   * none was seen. */
  std::chrono::milliseconds Expected(std::string_view route) const;

 private:
  std::map<std::string, utils::TailEstimate, std::less<>> ms_;
};

}  // namespace turmeric::entry
