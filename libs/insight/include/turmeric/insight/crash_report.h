#pragma once

#include <chrono>
#include <map>
#include <set>
#include <string>

#include "turmeric/insight/log_event.h"

namespace turmeric::insight {

/**
 * Lists from the logs of a fleet the request fingerprints (`work` in the log
 * lines) and the prompt parts (`parts`) that were running on upstreams whose
 * connection broke off, and how many requests of each were answered. One under
 * which many upstreams broke off and which was never answered is likely to
 * crash the upstreams.
 */
class CrashReport {
 public:
  /** @param event of any instance, in any order. */
  void Add(const LogEvent& event);
  /** @return a table as text with a line for each fingerprint and each prompt
   * part under which at least two upstreams broke off, most upstreams first.
   */
  std::string Render() const;

 private:
  /** All requests with one fingerprint or one prompt part. */
  struct TraitStats {
    std::set<std::string> upstreams;  ///< Upstreams that broke off.
    std::set<std::string> instances;  ///< Instances that logged it.
    int requests = 0;
    int answered = 0;
    int refused = 0;
    std::chrono::milliseconds first = std::chrono::milliseconds::max();
    std::chrono::milliseconds last{0};
  };

  static void AddBrokenCall(const LogEvent& event, TraitStats& stats);
  static void AddRequestEnd(const LogEvent& event, TraitStats& stats);

  std::map<std::string, TraitStats> traits_;
};

}  // namespace turmeric::insight
