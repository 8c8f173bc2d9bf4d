#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "turmeric/insight/log_event.h"

namespace turmeric::insight {

/** What took most of the time of an answer that came late. */
enum class LateBy {
  kEarlierAttempts,  ///< The caller had been refused before.
  kStages,           ///< The stages before the engine.
  kUpstream,         ///< The engine or service itself.
};

/** @param end a request_end whose answer came after its target.
 * @return what took most of its time. */
LateBy CauseOfLate(const LogEvent& end);

/**
 * Says from the logs of a fleet where requests lose their worth: which stage
 * services bind, when, and for each route how many answers were late by what
 * and how many were refused or failed why.
 */
class LossReport {
 public:
  /** @param event of any instance, in any order. */
  void Add(const LogEvent& event);
  /** @return tables as text, one for stage services, one for routes. */
  std::string Render() const;

 private:
  /** Calls of one service that ended in one span of time. */
  struct Span {
    int64_t calls = 0;
    int64_t pieces = 0;
    int64_t capacity = 0;  ///< Pieces that the calls could have held.
    int64_t waiting = 0;   ///< Pieces, summed over the calls' ends.
    int64_t busy_ms = 0;
  };
  struct Service {
    std::set<std::string> upstreams;
    std::map<int64_t, Span> spans;  ///< By number of the span.
  };
  struct Route {
    int64_t requests = 0;
    int64_t in_target = 0;
    std::map<LateBy, int64_t> late;
    std::map<std::string, int64_t> lost;  ///< By status and outcome.
  };

  void AddCall(const LogEvent& event);
  void AddRequest(const LogEvent& event);
  std::string RenderServices() const;
  std::string RenderRoutes() const;

  std::map<std::string, Service> services_;
  std::map<std::string, Route> routes_;
};

}  // namespace turmeric::insight
