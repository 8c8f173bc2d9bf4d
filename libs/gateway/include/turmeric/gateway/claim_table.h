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

/** Store key prefix under which claims live. */
inline constexpr std::string_view kClaimPrefix = "claims/";

/** What claims met, for the operator. */
struct ClaimCounts {
  int64_t acquired = 0;
  int64_t replayed = 0;
  int64_t lost_answers_resolved = 0;
  int64_t released = 0;
  int64_t swept = 0;
};

/**
 * At-most-once execution across entry instances by conditional create in
 * the platform's object API (docs/design/at-most-once.md). One read and two
 * writes per non-idempotent request; idempotent work never touches the
 * store. Calls block on the store; thread-safe.
 */
class ClaimTable {
 public:
  /**
   * @param store the platform's object API.
   * @param instance this instance's name, written into claims.
   */
  ClaimTable(store::ObjectStore& store, std::string instance);

  /**
   * Reads whether the request ran before, without claiming it.
   * @param subject the request.
   * @return kFree, or as for Acquire but never kOwned.
   */
  Claim Lookup(const ClaimSubject& subject);
  /**
   * Claims the request, just before its first non-idempotent call.
   * Succeeds only if nobody has held the key since `seen`.
   * @param seen what Lookup found when this attempt began (kFree).
   * @param keep_until_unix_ms when the claim may be swept away.
   * @return the claim as found or made.
   */
  Claim Acquire(const Claim& seen, int64_t keep_until_unix_ms);
  /**
   * Records the answer of an owned claim, so a retry replays it.
   * @param claim an owned claim.
   * @param result the answer given to the caller.
   * @param keep_until_unix_ms when the claim may be swept away.
   * @return false if the store could not confirm; retried by Recover.
   */
  bool Complete(const Claim& claim, std::string_view result,
                int64_t keep_until_unix_ms);
  /**
   * Gives up an owned claim whose call certainly did not run, so that a
   * retry may run it.
   * @param claim an owned claim.
   */
  void Release(const Claim& claim);
  /** Retries completions and releases the store could not take. */
  void Recover();
  /**
   * Deletes the claims completed here that are past their time, without
   * reading the store.
   * @param now_unix_ms the time. @param most deletes at most.
   * @return claims deleted.
   */
  int SweepOwn(int64_t now_unix_ms, int most);
  /**
   * Lists all claims and deletes those past their time: what instances that
   * are gone left behind. Run by one instance at a time, but safe if two do:
   * deletes are conditional on the version read.
   * @param now_unix_ms the time. @param most deletes at most.
   * @return claims deleted, or the store's error.
   */
  utils::Result<int> Sweep(int64_t now_unix_ms, int most);
  /** @return counters. */
  ClaimCounts counts() const;
  /** @return completions and releases waiting for the store. */
  size_t pending() const;

 private:
  struct Pending {
    Claim claim;
    std::string result;
    int64_t keep_until_unix_ms = 0;
    bool release = false;
  };
  std::string NewToken() const;
  Claim Judge(Claim mine, const store::StoredObject& found);
  Claim Resolve(Claim mine, const std::string& value);
  /** A claim completed here, until it is swept. */
  struct Completed {
    std::string key;
    int64_t version = 0;
    int64_t keep_until_unix_ms = 0;
  };
  bool TryComplete(const Pending& p);
  bool TryRelease(const Claim& claim);
  void Keep(Pending p);

  store::ObjectStore& store_;
  std::string instance_;
  mutable std::mutex mu_;
  std::vector<Pending> pending_;
  std::deque<Completed> completed_;  ///< Oldest first.
  ClaimCounts counts_;
};

}  // namespace turmeric::gateway
