#pragma once

#include <chrono>

namespace turmeric::gateway {

/** A planned stop as it stands at one moment. */
struct DrainView {
  std::chrono::milliseconds since_begin{0};  ///< Time since the stop began.
  std::chrono::milliseconds grace{0};        ///< Serving on, unhealthy.
  std::chrono::milliseconds timeout{0};      ///< From the grace's end on.
  bool work_open = false;  ///< Requests in flight, or claims unwritten.
  bool unsent = false;     ///< Answers still lie in this process.
};

/** What a planned stop does next. */
enum class DrainStep {
  kServe,       ///< Takes new requests: the balancer still sends them.
  kFinish,      ///< Refuses new requests, lets the open ones end.
  kAnswerOpen,  ///< Gives every request still open its final answer.
  kExit,        ///< Nothing is open any more, or the time is up.
};

/**
 * Keeps the last part of the drain timeout for final answers: due only when it
 * has passed, they would be lost with the process.
 * @param view the stop now. @return what it does next.
 */
DrainStep NextDrainStep(const DrainView& view);

}  // namespace turmeric::gateway
