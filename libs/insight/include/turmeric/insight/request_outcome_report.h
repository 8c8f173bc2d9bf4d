#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "turmeric/insight/log_event.h"
#include "turmeric/insight/refusal_cause_report.h"

namespace turmeric::insight {

/** The phase that took most of the time of a late answer. */
enum class DelayCause {
  kEarlierAttempts,  ///< Attempts of the caller that were refused before.
  kStages,           ///< The stages that run before the engine call.
  kUpstream,         ///< The call of the engine or service itself.
};

/** @param end request_end event of a request answered after its latency target.
 * @return the phase that took most of its time. */
DelayCause FindDelayCause(const LogEvent& end);

/**
 * Summarises from the logs of a fleet which stage services are the bottleneck
 * and when, and for each route how many answers met their latency target, how
 * many were late and in which phase, and how many requests were refused or
 * failed, by status and outcome.
 */
class RequestOutcomeReport {
 public:
  /** @param event of any instance, in any order. */
  void Add(const LogEvent& event);
  /** @return tables as text: stage services, routes, and the causes of refusals
   * over a share or by the memory bound. */
  std::string Render() const;

 private:
  /** Calls of one service that ended in one time window. */
  struct Window {
    int64_t calls = 0;
    int64_t pieces = 0;
    int64_t capacity = 0;  ///< Sum of the batch limits, in pieces.
    int64_t waiting = 0;   ///< Pieces in the queue, summed over calls.
    int64_t busy_ms = 0;
  };
  /** Calls of one stage service. */
  struct Service {
    std::set<std::string> upstreams;
    std::map<int64_t, Window> windows;  ///< By index of the window.
  };
  /** Requests of one route that ended. */
  struct Route {
    int64_t requests = 0;
    int64_t within_target = 0;
    std::map<DelayCause, int64_t> late;
    /** Requests refused or failed, by status and outcome. */
    std::map<std::string, int64_t> lost;
  };

  void AddCall(const LogEvent& event);
  void AddRequest(const LogEvent& event);
  std::string RenderServices() const;
  std::string RenderRoutes() const;

  std::map<std::string, Service> services_;
  std::map<std::string, Route> routes_;
  RefusalCauseReport refusals_;
};

}  // namespace turmeric::insight
