#pragma once

#include <cstdint>
#include <vector>

namespace turmeric::balancing {

/** The ways in which the simulated instances choose an upstream. */
enum class Method {
  kLeastLoaded,   ///< By latency and own requests in flight.
  kExpectedTime,  ///< By the expected time to the answer.
};

/** A load on the upstreams of one service. */
struct SimulatedLoad {
  Method method = Method::kExpectedTime;
  int instances = 6;
  std::vector<double> speeds;  ///< Of each upstream; 3: three times as slow.
  int slots = 1;
  double work_ms = 67;    ///< Mean service time at speed 1.
  double load = 0.7;      ///< Offered load as a part of the capacity.
  double slowdown = 2.5;  ///< Of two upstreams, other ones each second.
  bool reports = true;    ///< The upstreams report their load.
  /** This upstream reports that it is idle; -1: none. */
  int false_report = -1;
  int seconds = 60;
  uint64_t seed = 1;
};

/** What the callers have seen, from the sixth second on. */
struct SimulatedResult {
  double in_time = 0;  ///< Part of the requests answered within 300 ms.
  double p50_ms = 0;
  double p95_ms = 0;
  std::vector<int> served;  ///< Requests by upstream.
  /** Part of the time in which all of the fastest upstreams were full while
   * the slowest upstreams were wholly idle. */
  double slow_idle = 0;
};

/** @param load to replay. @return what the callers have seen. */
SimulatedResult Simulate(const SimulatedLoad& load);

/** @return the upstreams of the page: four of each speed. */
std::vector<double> UnevenSpeeds();

}  // namespace turmeric::balancing
