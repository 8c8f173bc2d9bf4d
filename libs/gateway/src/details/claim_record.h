#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace turmeric::gateway::details {

/** Where a claim stands. */
enum class ClaimPhase {
  kMalformed,  ///< Not a claim record; treated as held by another.
  kClaimed,    ///< Its owner may have sent the non-idempotent call.
  kDone,       ///< `result` holds the answer.
  kReleased,   ///< Certainly not run; free to be claimed.
};

/** The value of a claim object in the store. */
struct ClaimRecord {
  ClaimPhase phase = ClaimPhase::kMalformed;
  std::string token;
  std::string instance;  ///< For the operator.
  std::string fingerprint;
  int64_t keep_until_unix_ms = 0;
  std::string result;
};

/** @param r record. @return JSON text. */
std::string EncodeClaim(const ClaimRecord& r);
/** @param text JSON text. @return the record; kMalformed if it is none. */
ClaimRecord DecodeClaim(std::string_view text);

}  // namespace turmeric::gateway::details
