#pragma once

namespace turmeric::standins {

/** Faults an upstream stand-in can be told to show. */
struct StandinFaults {
  double slow_factor = 1.0;  ///< Multiplies every delay.
  double fail_rate = 0.0;    ///< Share of requests answered 500.
  bool leaving = false;      ///< Answers new work 503 with x-leaving.
};

}  // namespace turmeric::standins
