#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace turmeric::stages {

/** The clock of all times of pieces. */
using Clock = std::chrono::steady_clock;

/** One piece of a request's stage: the unit of work of a stage service. */
struct Piece {
  std::string request_id;
  int stage = 0;
  int index = 0;    ///< Index of the piece in the stage, from 0.
  std::string key;  ///< The request's piece key; set if `inputs` is empty.
  /** Handles of the results that the piece needs. */
  std::vector<std::string> inputs;
  int64_t result_bytes = 0;    ///< Approximate size of the piece's result.
  int rank = 0;                ///< Urgency class; 0 is served first.
  Clock::time_point due;       ///< End time needed to meet the latency target.
  Clock::time_point deadline;  ///< The result is of no use after this.
  /** Preferred availability zone: running the piece there transfers the fewest
   * bytes between zones. Empty: no preference. */
  std::string zone;
  /** Services of the stages that follow, for which its result must be kept. */
  std::vector<std::string> next_services;
  std::string fingerprint;  ///< Fingerprint of the piece's request.
  /** The piece may have run before; it adds no credit for retries of pieces. */
  bool retried = false;
};

/** Why a piece has no result. */
enum class PieceFailure {
  kNone,
  kLate,         ///< Its deadline has passed or cannot be met.
  kInputLost,    ///< A result that the piece needs no longer exists.
  kNoMemory,     ///< The upstream has no memory for the result.
  kFailed,       ///< The upstream failed or closed the connection.
  kNoUpstream,   ///< The service has no usable upstream.
  kQuarantined,  ///< Its request is quarantined: it crashes upstreams.
  kResting,      ///< All usable upstreams of the service want a rest.
};

/** The outcome of a piece. */
struct PieceResult {
  PieceFailure failure = PieceFailure::kNone;
  /** Identifies the result: "ip:port/id", with the upstream's address. */
  std::string handle;
  std::string zone;  ///< Availability zone of the upstream that holds it.
  /** After kResting: time until the first upstream may be called. */
  std::chrono::milliseconds available_in{0};
};

}  // namespace turmeric::stages
