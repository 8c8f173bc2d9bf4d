#pragma once

#include <chrono>

namespace turmeric::gateway {

/** State of a planned stop at one moment. */
struct DrainStatus {
  std::chrono::milliseconds elapsed{0};  ///< Time since the stop began.
  std::chrono::milliseconds grace{0};    ///< Serves while /healthz fails.
  std::chrono::milliseconds timeout{0};  ///< Drain limit after the grace.
  bool work_in_flight = false;           ///< Open requests or unwritten claims.
  bool answers_unsent = false;  ///< Answers are still buffered in this process.
};

/** Next action of a planned stop. */
enum class DrainStep {
  kServe,            ///< Admits new requests: the balancer still sends them.
  kDrainInFlight,    ///< Refuses new requests; requests in flight continue.
  kAnswerRemaining,  ///< Sends a final answer to every request still in flight.
  kExit,  ///< Nothing is in flight and all answers are sent, or the drain
          ///< timeout has expired.
};

/**
 * Decides the next action of a planned stop. The last part of the drain timeout
 * is reserved for final answers: an answer written only when the timeout
 * expires would be lost with the process.
 * @param status current state of the stop.
 * @return the next action.
 */
DrainStep NextDrainStep(const DrainStatus& status);

}  // namespace turmeric::gateway
