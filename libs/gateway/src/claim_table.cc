#include "turmeric/gateway/claim_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "details/claim_record.h"
#include "turmeric/utils/random_id.h"
#include "turmeric/utils/trace.h"

namespace turmeric::gateway {

using details::ClaimPhase;
using details::ClaimRecord;
using details::DecodeClaim;
using details::EncodeClaim;
using utils::Errc;

namespace {
/** Attempts to write a claim and, if the result is unclear, to read it back. */
constexpr int kMaxWriteAttempts = 3;
constexpr size_t kTokenDigits = 24;
}  // namespace

ClaimTable::ClaimTable(store::ObjectStore& store, std::string instance)
    : store_(store), instance_(std::move(instance)) {}

std::string ClaimTable::NewToken() const {
  // Guard: tokens must be unique across all attempts, including those of this
  // instance before a restart. A token made of name and counter repeats after a
  // restart: the claim of the previous process start then looks like the claim
  // of this one, and the request runs twice.
  return instance_ + "#" + utils::RandomHex(kTokenDigits);
}

Claim ClaimTable::Lookup(const ClaimSubject& subject) {
  Claim claim;
  claim.subject = subject;
  auto got = store_.Get(subject.key);
  if (got) return ClassifyRecord(std::move(claim), got.value());
  claim.state = got.error().code == Errc::kStoreNotFound
                    ? ClaimState::kFree
                    : ClaimState::kStoreUnreachable;
  return claim;
}

/** @return `own_claim`, with its state set from the stored record. */
Claim ClaimTable::ClassifyRecord(Claim own_claim,
                                 const store::StoredObject& found) {
  const ClaimRecord record = DecodeClaim(found.value);
  if (record.phase == ClaimPhase::kReleased) {
    own_claim.state = ClaimState::kFree;
    own_claim.version = found.version;
  } else if (record.fingerprint != own_claim.subject.fingerprint) {
    own_claim.state = ClaimState::kKeyReused;
  } else if (record.phase == ClaimPhase::kDone) {
    own_claim.state = ClaimState::kDone;
    own_claim.result = record.result;
    std::lock_guard lock(mu_);
    ++counts_.replayed;
  } else if (!own_claim.token.empty() && record.token == own_claim.token) {
    // Guard: the store applied the write of this attempt but its answer was
    // lost. Without this check the caller would receive "not run" while this
    // attempt holds the claim, and every retry would find the key claimed until
    // the claim is swept.
    own_claim.state = ClaimState::kOwned;
    own_claim.version = found.version;
    std::lock_guard lock(mu_);
    ++counts_.lost_answers_resolved;
  } else {
    own_claim.state = ClaimState::kInFlightElsewhere;
  }
  return own_claim;
}

Claim ClaimTable::Acquire(const Claim& observed, int64_t keep_until_unix_ms) {
  Claim own_claim = observed;
  own_claim.token = NewToken();
  const std::string value =
      EncodeClaim({ClaimPhase::kClaimed, own_claim.token, instance_,
                   observed.subject.fingerprint, keep_until_unix_ms, ""});
  Claim claim = WriteClaim(std::move(own_claim), value);
  std::lock_guard lock(mu_);
  if (claim.state == ClaimState::kOwned) ++counts_.acquired;
  return claim;
}

/**
 * Writes `value` on condition that the key still has version
 * `own_claim.version`. Retries until the owner of the claim is certain, at most
 * kMaxWriteAttempts times in all.
 */
Claim ClaimTable::WriteClaim(Claim own_claim, const std::string& value) {
  const int64_t expected = own_claim.version;  // kAbsent, or a released record
  for (int i = 0; i < kMaxWriteAttempts; ++i) {
    auto put = store_.Put(own_claim.subject.key, value, expected);
    if (put) {
      own_claim.state = ClaimState::kOwned;
      own_claim.version = put.value().version;
      return own_claim;
    }
    // The write conflicted or its outcome is unknown: the stored record
    // decides.
    auto got = store_.Get(own_claim.subject.key);
    if (!got) continue;
    own_claim = ClassifyRecord(std::move(own_claim), got.value());
    if (own_claim.state != ClaimState::kFree) return own_claim;
    if (own_claim.version != expected) {
      // Guard: another attempt has held the key since this one began, did not
      // run, and answered "not run" to its caller. Running now would make that
      // answer false.
      own_claim.state = ClaimState::kInFlightElsewhere;
      return own_claim;
    }
  }
  // It is unknown whether the write was applied or will be. No call was sent. A
  // release is queued, so that a claim this attempt may hold does not block the
  // caller's retry.
  own_claim.state = ClaimState::kStoreUnreachable;
  AddPending({own_claim, "", 0, true});
  return own_claim;
}

bool ClaimTable::TryComplete(const PendingWrite& p) {
  const std::string value = EncodeClaim({ClaimPhase::kDone, p.claim.token,
                                         instance_, p.claim.subject.fingerprint,
                                         p.keep_until_unix_ms, p.result});
  if (auto put = store_.Put(p.claim.subject.key, value, p.claim.version)) {
    std::lock_guard lock(mu_);
    completed_.push_back(
        {p.claim.subject.key, put.value().version, p.keep_until_unix_ms});
    return true;
  }
  auto got = store_.Get(p.claim.subject.key);
  // kStoreNotFound: the claim was swept.
  if (!got) return got.error().code == Errc::kStoreNotFound;
  // If the answer was lost, a record in phase kDone shows that the write was
  // applied. A record with another token is no longer owned by this attempt.
  const ClaimRecord record = DecodeClaim(got.value().value);
  return record.token != p.claim.token || record.phase == ClaimPhase::kDone;
}

bool ClaimTable::Complete(const Claim& claim, std::string_view result,
                          int64_t keep_until_unix_ms) {
  PendingWrite p{claim, std::string(result), keep_until_unix_ms, false};
  if (TryComplete(p)) return true;
  AddPending(std::move(p));
  return false;
}

bool ClaimTable::TryRelease(const Claim& claim) {
  constexpr int64_t kReleasedRetentionMs = 600'000;
  constexpr int64_t kMicrosPerMs = 1000;
  const std::string released = EncodeClaim(
      {ClaimPhase::kReleased, claim.token, instance_, claim.subject.fingerprint,
       utils::NowUnixMicros() / kMicrosPerMs + kReleasedRetentionMs, ""});
  auto got = store_.Get(claim.subject.key);
  if (!got && got.error().code != Errc::kStoreNotFound) return false;
  int64_t expected = store::kAbsent;
  if (got) {
    const ClaimRecord record = DecodeClaim(got.value().value);
    // Releases only a claim that this attempt holds and has not run; any other
    // record stays unchanged.
    if (record.token != claim.token || record.phase != ClaimPhase::kClaimed) {
      return true;
    }
    expected = got.value().version;
  }
  // Guard: a create that timed out may be applied after this read found
  // nothing, and would then hold the key until the claim is swept. With a
  // "released" record in its place the late create fails its precondition.
  if (!store_.Put(claim.subject.key, released, expected)) return false;
  std::lock_guard lock(mu_);
  ++counts_.released;
  return true;
}

void ClaimTable::Release(const Claim& claim) {
  if (!TryRelease(claim)) AddPending({claim, "", 0, true});
}

void ClaimTable::AddPending(PendingWrite p) {
  std::lock_guard lock(mu_);
  pending_.push_back(std::move(p));
}

void ClaimTable::RetryPendingClaims() {
  std::vector<PendingWrite> writes;
  {
    std::lock_guard lock(mu_);
    writes.swap(pending_);
  }
  std::vector<PendingWrite> still_pending;
  std::ranges::copy_if(
      writes, std::back_inserter(still_pending), [this](const PendingWrite& p) {
        return p.release ? !TryRelease(p.claim) : !TryComplete(p);
      });
  std::lock_guard lock(mu_);
  pending_.insert(pending_.end(), still_pending.begin(), still_pending.end());
}

int ClaimTable::SweepOwn(int64_t now_unix_ms, int max_deletes) {
  int swept = 0;
  for (int i = 0; i < max_deletes; ++i) {
    Completed oldest;
    {
      std::lock_guard lock(mu_);
      if (completed_.empty() ||
          completed_.front().keep_until_unix_ms >= now_unix_ms) {
        break;
      }
      oldest = std::move(completed_.front());
      completed_.pop_front();
    }
    // Claims whose delete fails are deleted by the sweep of all claims.
    if (store_.Delete(oldest.key, oldest.version)) ++swept;
  }
  std::lock_guard lock(mu_);
  counts_.swept += swept;
  return swept;
}

utils::Result<int> ClaimTable::Sweep(int64_t now_unix_ms, int max_deletes) {
  auto all = store_.List(kClaimPrefix);
  if (!all) return all.error();
  int swept = 0;
  for (const store::StoredObject& o : all.value().objects) {
    if (swept == max_deletes) break;
    const ClaimRecord record = DecodeClaim(o.value);
    if (record.phase == ClaimPhase::kMalformed ||
        record.keep_until_unix_ms >= now_unix_ms) {
      continue;
    }
    if (store_.Delete(o.key, o.version)) ++swept;
  }
  std::lock_guard lock(mu_);
  counts_.swept += swept;
  return swept;
}

ClaimCounts ClaimTable::counts() const {
  std::lock_guard lock(mu_);
  return counts_;
}

size_t ClaimTable::pending() const {
  std::lock_guard lock(mu_);
  return pending_.size();
}

}  // namespace turmeric::gateway
