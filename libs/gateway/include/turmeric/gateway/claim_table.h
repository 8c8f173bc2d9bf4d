#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/store/object_store.h"

namespace turmeric::gateway {

/** What acquiring an at-most-once claim found. */
enum class ClaimState {
  kOwned,              ///< This attempt holds the claim: it may run.
  kDone,               ///< Ran before; `result` holds its answer.
  kInFlightElsewhere,  ///< Claimed by another attempt; outcome unknown.
  kStoreDown,          ///< Could not tell; nothing was run.
};

/** A claim on one idempotency key. */
struct Claim {
  ClaimState state = ClaimState::kStoreDown;
  std::string key;      ///< Store key, "claims/<business>/<idempotency key>".
  std::string token;    ///< This attempt's token (unique per attempt).
  int64_t version = 0;  ///< Version of the claim object we wrote.
  std::string result;   ///< With kDone: the stored answer.
};

/** Store calls made by claims, for the write budget. */
struct ClaimCounts {
  int64_t acquired = 0;
  int64_t replayed = 0;
  int64_t lost_answers_resolved = 0;
  int64_t released = 0;
};

/**
 * At-most-once execution across entry instances by conditional create in
 * the platform's object API (docs/design/at-most-once.md). Two writes per
 * non-idempotent request; idempotent work never touches the store.
 * Thread-safe.
 */
class ClaimTable {
 public:
  /**
   * @param store the platform's object API.
   * @param instance this instance's name, written into claims.
   */
  ClaimTable(store::ObjectStore& store, std::string instance);

  /**
   * @param business the business.
   * @param idempotency_key the caller's key.
   * @param expires_unix_ms the request's deadline; the claim's lease.
   * @return the claim as found or made.
   */
  Claim Acquire(std::string_view business, std::string_view idempotency_key,
                int64_t expires_unix_ms);
  /**
   * Records the answer of an owned claim, so a retry replays it.
   * @param claim an owned claim.
   * @param result the answer given to the caller.
   * @return false if the store could not confirm; retried by Recover.
   */
  bool Complete(const Claim& claim, std::string_view result);
  /**
   * Gives up an owned claim that never ran (deadline passed before the
   * call), so a retry may run it.
   * @param claim an owned claim.
   */
  void Release(const Claim& claim);
  /** Retries completions and releases the store could not take. */
  void Recover();
  /** @return counters. */
  ClaimCounts counts() const;
  /** @return completions and releases waiting for the store. */
  size_t pending() const;

 private:
  struct Pending {
    Claim claim;
    std::string result;  ///< Empty: release; else: complete with it.
    bool release = false;
  };
  Claim ReadBack(Claim mine, int attempts);
  bool TryComplete(const Claim& claim, std::string_view result);
  bool TryRelease(const Claim& claim);

  store::ObjectStore& store_;
  std::string instance_;
  mutable std::mutex mu_;
  std::vector<Pending> pending_;
  ClaimCounts counts_;
  int64_t sequence_ = 0;
};

}  // namespace turmeric::gateway
