#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace turmeric::engines {

/** One kind of requests of a simulated load. */
struct SimulatedClass {
  double per_s = 0;
  int shared_parts = 0;
  int shared_tokens = 0;
  int sessions = 0;
  int session_tokens = 0;
  int own_tokens = 0;     ///< Prompt of the request alone.
  int output_tokens = 0;  ///< Mean.
  /** Factors on the mean, of equal probability. */
  std::vector<double> output_factors = {1};
  double ms = 0;  ///< Time from the first token to the last, at factor 1.
};

/** A load on engines that share one owner. */
struct SimulatedLoad {
  size_t engines = 0;
  int64_t capacity = 0;  ///< Memory of an engine, tokens.
  double seconds = 0;
  std::vector<SimulatedClass> classes;
  /** After this time, a new owner without any record places; 0: never. */
  double owner_changes_at = 0;
  uint64_t seed = 7;
};

/** How the owner places. */
enum class SimulatedPlacement {
  kByReading,  ///< Without the memory of engines.
  kByRoom,
};

/** Measured over all requests. */
struct SimulatedResult {
  int64_t requests = 0;
  /** Parts read, other than a part's first read in the fleet, tokens. */
  int64_t read_again = 0;
  int64_t preempted = 0;  ///< Requests preempted because memory ran out.
  double wait_ms = 0;     ///< Mean time until the prompt is being read.
  double wait_p95_ms = 0;
  double first_token_ms = 0;  ///< Mean time until the prompt is read.
  double first_token_p95_ms = 0;
};

/** @param load the load. @param placement of its requests.
 * @return what the engines did; the same for the same arguments. */
SimulatedResult Simulate(const SimulatedLoad& load,
                         SimulatedPlacement placement);

}  // namespace turmeric::engines
