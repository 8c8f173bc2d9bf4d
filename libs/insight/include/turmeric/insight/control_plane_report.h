#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "turmeric/insight/log_event.h"

namespace turmeric::insight {

/**
 * Summarises the control plane events in the logs of a fleet: when each
 * instance put each configuration version into force and whether it received
 * the version from the store or from a peer instance, the changes of its
 * connections to the store before that, when it applied evacuations, and how
 * often requests waited because the limit on requests to upstreams that may be
 * cold was reached.
 */
class ControlPlaneReport {
 public:
  /** @param event of any instance, in any order. */
  void Add(const LogEvent& event);
  /** @return a table of the configuration versions as text and, for each
   * instance, its control plane events in order of time. */
  std::string Render() const;

 private:
  /** Times at which instances put one configuration version into force, and
   * number of instances by source of the version. */
  struct Version {
    std::chrono::milliseconds first = std::chrono::milliseconds::max();
    std::chrono::milliseconds last{0};
    int64_t from_store = 0;  ///< Instances with the store as source.
    int64_t from_peers = 0;  ///< Instances with a peer as source.
  };
  /** One event of an instance, formatted for the report. */
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
