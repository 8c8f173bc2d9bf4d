#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace turmeric::gateway {

/** Result of looking up or acquiring an at-most-once claim. */
enum class ClaimState {
  kFree,   ///< No attempt holds the claim.
  kOwned,  ///< This attempt holds the claim and may run the request.
  kDone,   ///< The request ran before; `result` holds its answer.
  kInFlightElsewhere,  ///< Another attempt holds the claim; outcome unknown.
  kKeyReused,  ///< The key belongs to a request with another fingerprint.
  kStoreUnreachable,  ///< The store gave no usable answer; this attempt ran
                      ///< nothing.
};

/** Identifies the logical request that a claim belongs to. */
struct ClaimSubject {
  /**
   * Store key, unique per business, organisation, pipeline and idempotency key,
   * so that no two requests share a claim.
   */
  std::string key;
  /**
   * Hash of the request's input; a key reused with another fingerprint is
   * refused.
   */
  std::string fingerprint;
};

/** A claim on one idempotency key. */
struct Claim {
  ClaimState state = ClaimState::kStoreUnreachable;
  ClaimSubject subject;
  std::string token;    ///< Token of this attempt, unique across all attempts.
  int64_t version = 0;  ///< Version of the claim object in the store.
  std::string result;   ///< With kDone: the stored answer.
};

/**
 * @param business business.
 * @param organisation organisation.
 * @param pipeline pipeline.
 * @param idempotency_key idempotency key sent by the caller.
 * @return the globally unique name of the request, each part percent-encoded:
 *     "<business>/<organisation>/<pipeline>/<key>".
 */
std::string QualifiedKey(std::string_view business,
                         std::string_view organisation,
                         std::string_view pipeline,
                         std::string_view idempotency_key);

/**
 * @param qualified_key result of QualifiedKey.
 * @return the store key of the claim.
 */
std::string ClaimStoreKey(std::string_view qualified_key);

}  // namespace turmeric::gateway
