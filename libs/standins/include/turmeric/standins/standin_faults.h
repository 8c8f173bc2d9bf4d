#pragma once

#include <QByteArray>

namespace turmeric::standins {

/** Faults an upstream stand-in can be told to show. */
struct StandinFaults {
  double slow_factor = 1.0;  ///< Multiplies every delay.
  double stall_rate = 0.0;   ///< Share of calls that take 20 times as long.
  double fail_rate = 0.0;    ///< Share of requests answered 500.
  double lose_answer_rate = 0.0;  ///< Runs, then drops the connection.
  int cut_stream_after = -1;  ///< Tokens after which a stream is cut; -1: off.
  bool leaving = false;       ///< Answers new work 503 with x-leaving.
};

/**
 * @param json body of `POST /admin/faults`, e.g. {"slow_factor": 5}.
 * @return the faults; absent fields take their defaults (no fault).
 */
StandinFaults ParseFaults(const QByteArray& json);

}  // namespace turmeric::standins
