#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace turmeric::gateway::details {

/** Phase of a claim. */
enum class ClaimPhase {
  kMalformed,  ///< Not a claim record; treated as held by another attempt.
  kClaimed,    ///< The owner may have sent the non-idempotent call.
  kDone,       ///< `result` holds the answer.
  kReleased,   ///< Certainly not run; may be claimed again.
};

/** Value of a claim object in the store. */
struct ClaimRecord {
  ClaimPhase phase = ClaimPhase::kMalformed;
  std::string token;
  std::string instance;  ///< Informational, for operators.
  std::string fingerprint;
  int64_t keep_until_unix_ms = 0;
  std::string result;
};

/**
 * @param r the record.
 * @return its JSON text.
 */
std::string EncodeClaim(const ClaimRecord& r);
/**
 * @param text JSON text.
 * @return the record; its phase is kMalformed if the text is not a claim
 *     record.
 */
ClaimRecord DecodeClaim(std::string_view text);

}  // namespace turmeric::gateway::details
