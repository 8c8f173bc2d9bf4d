#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/gateway/claim.h"
#include "turmeric/store/object_store.h"

namespace turmeric::gateway {

/** Store key prefix of all claims. */
inline constexpr std::string_view kClaimPrefix = "claims/";

/** Counters of claim operations, for operators. */
struct ClaimCounts {
  int64_t acquired = 0;
  int64_t replayed = 0;
  int64_t lost_answers_resolved = 0;
  int64_t released = 0;
  int64_t swept = 0;
};

/**
 * At-most-once execution across entry instances by conditional creates in the
 * platform's object API (docs/design/at-most-once.md). A non-idempotent request
 * costs one store read and two writes; idempotent requests never access the
 * store. Calls block on the store; thread-safe.
 */
class ClaimTable {
 public:
  /**
   * @param store object API of the platform.
   * @param instance name of this instance, written into claims.
   */
  ClaimTable(store::ObjectStore& store, std::string instance);

  /**
   * Reads whether the request ran before, without claiming it.
   * @param subject the request.
   * @return kFree, or a state as returned by Acquire except kOwned.
   */
  Claim Lookup(const ClaimSubject& subject);
  /**
   * Claims the request, just before its first non-idempotent call. Succeeds
   * only if no attempt has held the key since `observed` was read.
   * @param observed result of Lookup at the beginning of this attempt (kFree).
   * @param keep_until_unix_ms Unix time in ms from which the claim may be
   *     deleted.
   * @return the claim as acquired, or as found in the store.
   */
  Claim Acquire(const Claim& observed, int64_t keep_until_unix_ms);
  /**
   * Stores the answer of an owned claim, so that a retry replays it.
   * @param claim an owned claim.
   * @param result the answer given to the caller.
   * @param keep_until_unix_ms Unix time in ms from which the claim may be
   *     deleted.
   * @return false if the store did not confirm the write; RetryPendingClaims
   *     retries it.
   */
  bool Complete(const Claim& claim, std::string_view result,
                int64_t keep_until_unix_ms);
  /**
   * Releases an owned claim whose call certainly did not run, so that a retry
   * may run it.
   * @param claim an owned claim.
   */
  void Release(const Claim& claim);
  /** Retries the completions and releases that the store did not confirm. */
  void RetryPendingClaims();
  /**
   * Deletes expired claims that this instance completed, without reading the
   * store.
   * @param now_unix_ms current time.
   * @param max_deletes maximum number of claims to process.
   * @return number of claims deleted.
   */
  int SweepOwn(int64_t now_unix_ms, int max_deletes);
  /**
   * Lists all claims and deletes the expired ones, including those of instances
   * that no longer exist. Meant to run on one instance at a time; two
   * concurrent sweeps are safe, because deletes are conditional on the version
   * read.
   * @param now_unix_ms current time.
   * @param max_deletes maximum number of claims to delete.
   * @return number of claims deleted, or the store's error.
   */
  utils::Result<int> Sweep(int64_t now_unix_ms, int max_deletes);
  /** @return counters. */
  ClaimCounts counts() const;
  /**
   * @return number of completions and releases that the store has not
   *     confirmed.
   */
  size_t pending() const;

 private:
  struct PendingWrite {
    Claim claim;
    std::string result;
    int64_t keep_until_unix_ms = 0;
    bool release = false;
  };
  std::string NewToken() const;
  Claim ClassifyRecord(Claim own_claim, const store::StoredObject& found);
  Claim WriteClaim(Claim own_claim, const std::string& value);
  /** A claim that this instance completed and has not swept yet. */
  struct Completed {
    std::string key;
    int64_t version = 0;
    int64_t keep_until_unix_ms = 0;
  };
  bool TryComplete(const PendingWrite& p);
  bool TryRelease(const Claim& claim);
  void AddPending(PendingWrite p);

  store::ObjectStore& store_;
  std::string instance_;
  mutable std::mutex mu_;
  std::vector<PendingWrite> pending_;
  std::deque<Completed> completed_;  ///< Oldest first.
  ClaimCounts counts_;
};

}  // namespace turmeric::gateway
