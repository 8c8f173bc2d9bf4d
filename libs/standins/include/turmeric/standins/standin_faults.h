#pragma once

#include <QByteArray>

namespace turmeric::standins {

/** Faults that an upstream stand-in can inject. */
struct StandinFaults {
  double slow_factor = 1.0;  ///< Multiplies every delay.
  double stall_rate = 0.0;   ///< Share of calls with 20 times the delay.
  double fail_rate = 0.0;    ///< Share of requests answered with status 500.
  /** Share of requests that run, but whose connection is then aborted instead
   * of answered. */
  double lose_answer_rate = 0.0;
  /** Number of tokens after which a stream is aborted; -1: never. */
  int cut_stream_after = -1;
  bool leaving = false;  ///< Refuses calls with status 503 and x-leaving.
};

/**
 * @param json body of `POST /admin/faults`, e.g. {"slow_factor": 5}.
 * @return the faults; absent fields have their default (no fault).
 */
StandinFaults ParseFaults(const QByteArray& json);

}  // namespace turmeric::standins
