#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/peer/frame.h"

namespace turmeric::entry {

/**
 * An instance's name and which start of it this is, "name#start"; starts of one
 * instance are in the order of time as texts.
 */
struct Identity {
  std::string_view name;
  std::string_view start;
};

/** @param identity as told by an instance. @return its parts. */
Identity ParseIdentity(std::string_view identity);

/** @param name ours. @return an identity for this start of us. */
std::string MakeIdentity(std::string_view name);

/**
 * Which instances have started or are leaving, as they tell by way of others.
 * Says what is news, so that each piece of news is passed on once: without
 * connections of each to each, an owner that stops or is back would be found
 * out by every instance alone, and its queue be in several places meanwhile.
 */
class PresenceBook {
 public:
  using Clock = std::chrono::steady_clock;

  /** @param presence of an instance. @param now the time. @return true if it is
   * news. */
  bool Learn(const peer::PresenceNews& presence, Clock::time_point now);
  /** @param now the time. @return what was learnt lately: who has just started
   * does not know who is leaving, and would give them work. */
  std::vector<peer::PresenceNews> Recent(Clock::time_point now) const;

 private:
  struct Known {
    std::string start;
    bool leaving = false;
    Clock::time_point learnt;
  };
  std::map<std::string, Known, std::less<>> known_;
};

}  // namespace turmeric::entry
