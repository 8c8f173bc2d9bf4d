#pragma once

#include <chrono>
#include <map>
#include <set>
#include <string>

#include "turmeric/insight/log_event.h"

namespace turmeric::insight {

/**
 * Says from the logs of a fleet which work ran on upstreams that broke off, and
 * whether copies of it were ever answered: one that never was, with many
 * upstreams to it, is what ends them.
 */
class CrashReport {
 public:
  /** @param event of any instance, in any order. */
  void Add(const LogEvent& event);
  /** @return a line for each work under which two upstreams or more broke off,
   * most first. */
  std::string Render() const;

 private:
  /** All copies of one request. */
  struct Work {
    std::set<std::string> upstreams;  ///< Broke off under it.
    std::set<std::string> instances;  ///< Saw that.
    int copies = 0;
    int answered = 0;
    int refused = 0;
    std::chrono::milliseconds first = std::chrono::milliseconds::max();
    std::chrono::milliseconds last{0};
  };

  void AddBreak(const LogEvent& event);
  void AddEnd(const LogEvent& event);

  std::map<std::string, Work> works_;
};

}  // namespace turmeric::insight
