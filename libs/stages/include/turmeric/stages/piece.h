#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace turmeric::stages {

/** The clock that pieces are planned by. */
using Clock = std::chrono::steady_clock;

/** One piece of a request's stage: the unit of work of a stage service. */
struct Piece {
  std::string request_id;
  int stage = 0;
  int index = 0;                    ///< Within the stage, from 0.
  std::string key;                  ///< For a stage that needs no results.
  std::vector<std::string> inputs;  ///< Handles of the results it needs.
  int64_t result_bytes = 0;         ///< Approximate size of its result.
  int rank = 0;                     ///< Urgency class, 0 first.
  Clock::time_point due;       ///< When it should end for the latency target.
  Clock::time_point deadline;  ///< After this its result is worthless.
  /** Where it is best made, by the bytes that would cross zones otherwise;
   * empty: anywhere. */
  std::string zone;
  /** Services of the stages that follow it, which its result waits for. */
  std::vector<std::string> next_services;
  std::string work;  ///< Fingerprint of its request.
  /** It may have been made before: it earns no repeats of pieces. */
  bool repeated = false;
};

/** Why a piece was not made. */
enum class PieceFailure {
  kNone,
  kLate,         ///< Its deadline had passed, or cannot be met.
  kInputGone,    ///< A result it needs no longer exists.
  kNoRoom,       ///< The upstream has no memory for the result.
  kFailed,       ///< The upstream failed or broke off.
  kNoUpstream,   ///< No upstream of the service is left.
  kQuarantined,  ///< Its request ends the upstreams that run it.
};

/** What became of a piece. */
struct PieceResult {
  PieceFailure failure = PieceFailure::kNone;
  std::string handle;  ///< Names the result: "ip:port/id" of its maker.
  std::string zone;    ///< Availability zone of its maker.
};

}  // namespace turmeric::stages
