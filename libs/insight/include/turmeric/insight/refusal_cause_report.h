#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "turmeric/insight/log_event.h"

namespace turmeric::insight {

/**
 * States for requests refused as `over_share` whose share was exceeded, and for
 * requests refused as `memory_full` which bound was reached. The lines
 * `share_exceeded` and `memory_pressure` are bounded, not one per request, so
 * that the causes are given by organisation and by instance.
 */
class RefusalCauseReport {
 public:
  /** @param event of any instance, in any order. */
  void Add(const LogEvent& event);
  /** @return a table for each of the two causes that has refused requests or
   * has been logged; empty if there is none. */
  std::string Render() const;

 private:
  /** Smallest and largest of the values seen. */
  struct Range {
    double min = 0;
    double max = 0;
    bool empty = true;

    void Add(double value);
    std::string Text() const;
  };
  /** Share of an organisation at a service. */
  struct Share {
    Range demand;
    Range level;
    Range fraction;  ///< Of its requests that were admitted.
    Range plan_age_ms;
    int64_t lines = 0;
  };
  /** Memory account of an instance, in bytes. */
  struct Memory {
    Range held;
    Range bound;
    std::map<std::string, int64_t> levels;  ///< Changes to each level.
  };

  void AddShare(const LogEvent& event);
  void AddMemory(const LogEvent& event);
  std::string RenderShares() const;
  std::string RenderMemory() const;

  /** By service and organisation. */
  std::map<std::pair<std::string, std::string>, Share> shares_;
  std::map<std::string, Memory> memory_;        ///< By instance.
  std::map<std::string, int64_t> over_share_;   ///< Refused, by route.
  std::map<std::string, int64_t> memory_full_;  ///< Refused, by instance.
};

}  // namespace turmeric::insight
