#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace turmeric::gateway {

/** What looking up or acquiring an at-most-once claim found. */
enum class ClaimState {
  kFree,               ///< Nobody holds it (lookup only).
  kOwned,              ///< This attempt holds the claim: it may run.
  kDone,               ///< Ran before; `result` holds its answer.
  kInFlightElsewhere,  ///< Claimed by another attempt; outcome unknown.
  kOtherRequest,       ///< The key was used for another request.
  kStoreDown,          ///< Could not tell; this attempt ran nothing.
};

/** Which logical request a claim is for. */
struct ClaimSubject {
  /** Store key: unique per business, organisation, pipeline and caller's
   * key, so that no two requests share a claim. */
  std::string key;
  /** Hash of what the caller asked; a key stands for one request only. */
  std::string fingerprint;
};

/** A claim on one idempotency key. */
struct Claim {
  ClaimState state = ClaimState::kStoreDown;
  ClaimSubject subject;
  std::string token;    ///< This attempt's token, unique for ever.
  int64_t version = 0;  ///< Version of the claim object we wrote.
  std::string result;   ///< With kDone: the stored answer.
};

/**
 * @param business business. @param organisation organisation.
 * @param pipeline pipeline. @param idempotency_key the caller's key.
 * @return the request's name among all requests, its parts percent-encoded:
 *     "<business>/<organisation>/<pipeline>/<key>".
 */
std::string QualifiedKey(std::string_view business,
                         std::string_view organisation,
                         std::string_view pipeline,
                         std::string_view idempotency_key);

/** @param qualified_key from QualifiedKey. @return its claim's store key. */
std::string ClaimStoreKey(std::string_view qualified_key);

}  // namespace turmeric::gateway
