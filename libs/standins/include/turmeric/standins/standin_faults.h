#pragma once

#include <QByteArray>

namespace turmeric::standins {

/** Faults that an upstream stand-in can inject. */
struct StandinFaults {
  double slow_factor = 1.0;  ///< Factor on the delays of prefill, decode steps
                             ///< and stage calls.
  double stall_rate = 0.0;   ///< Share of stage calls with 20 times the delay;
                             ///< not used by EngineStandin.
  double fail_rate = 0.0;    ///< Share of requests answered with status 500.
  /** Share of stage calls that are executed, but whose connection is then
   * aborted without a response; not used by EngineStandin. */
  double lose_answer_rate = 0.0;
  /** Number of tokens after which an engine stream is aborted; -1: never. */
  int cut_stream_after = -1;
  bool leaving = false;  ///< Refuses calls with status 503 and x-leaving.
};

/**
 * @param json body of `POST /admin/faults`, e.g. {"slow_factor": 5}.
 * @return the faults; absent fields have their default (no fault).
 */
StandinFaults ParseFaults(const QByteArray& json);

}  // namespace turmeric::standins
