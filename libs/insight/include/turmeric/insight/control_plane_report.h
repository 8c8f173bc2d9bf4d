#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "turmeric/insight/log_event.h"

namespace turmeric::insight {

/**
 * Says from the logs of a fleet when and by which path each instance came to
 * act on each configuration: from the store itself or passed on by which other
 * instance, and what happened to its paths before; when it learned of
 * evacuations, and how often requests waited for upstreams that may be cold.
 */
class ControlReport {
 public:
  /** @param event of any instance, in any order. */
  void Add(const LogEvent& event);
  /** @return a table of the configuration's versions and, for each instance,
   * what it did about its paths to the store, in the order of time. */
  std::string Render() const;

 private:
  /** One version over all instances. */
  struct Version {
    std::chrono::milliseconds first = std::chrono::milliseconds::max();
    std::chrono::milliseconds last{0};
    int64_t from_store = 0;
    int64_t from_others = 0;
  };
  struct Line {
    std::chrono::milliseconds at{0};
    std::string text;
  };

  void AddVersion(const LogEvent& event);

  std::map<int64_t, Version> versions_;
  std::map<std::string, int64_t> cold_waits_;  ///< By service.
  std::map<std::string, std::vector<Line>> instances_;
};

}  // namespace turmeric::insight
