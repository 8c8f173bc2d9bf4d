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
/** Store round trips spent on finding out what an unclear write did. */
constexpr int kResolveAttempts = 3;
constexpr size_t kTokenDigits = 24;
}  // namespace

ClaimTable::ClaimTable(store::ObjectStore& store, std::string instance)
    : store_(store), instance_(std::move(instance)) {}

std::string ClaimTable::NewToken() const {
  // Guard: a token must be unlike any other attempt's, also those of this
  // instance before a restart. Name and counter repeat after a restart: the
  // dead predecessor's claim then looked like our own and ran again.
  return instance_ + "#" + utils::RandomHex(kTokenDigits);
}

Claim ClaimTable::Lookup(const ClaimSubject& subject) {
  Claim claim;
  claim.subject = subject;
  auto got = store_.Get(subject.key);
  if (got) return Judge(std::move(claim), got.value());
  claim.state = got.error().code == Errc::kStoreNotFound
                    ? ClaimState::kFree
                    : ClaimState::kStoreDown;
  return claim;
}

/** @return `mine` with the state that the stored record gives it. */
Claim ClaimTable::Judge(Claim mine, const store::StoredObject& found) {
  const ClaimRecord record = DecodeClaim(found.value);
  if (record.phase == ClaimPhase::kReleased) {
    mine.state = ClaimState::kFree;
    mine.version = found.version;
  } else if (record.fingerprint != mine.subject.fingerprint) {
    mine.state = ClaimState::kOtherRequest;
  } else if (record.phase == ClaimPhase::kDone) {
    mine.state = ClaimState::kDone;
    mine.result = record.result;
    std::lock_guard lock(mu_);
    ++counts_.replayed;
  } else if (!mine.token.empty() && record.token == mine.token) {
    // Guard: the store applied our write but lost its answer. Without this
    // the caller would be told nothing ran while the claim is ours, and
    // every retry would find it held for ever.
    mine.state = ClaimState::kOwned;
    mine.version = found.version;
    std::lock_guard lock(mu_);
    ++counts_.lost_answers_resolved;
  } else {
    mine.state = ClaimState::kInFlightElsewhere;
  }
  return mine;
}

Claim ClaimTable::Acquire(const Claim& seen, int64_t keep_until_unix_ms) {
  Claim mine = seen;
  mine.token = NewToken();
  const std::string value =
      EncodeClaim({ClaimPhase::kClaimed, mine.token, instance_,
                   seen.subject.fingerprint, keep_until_unix_ms, ""});
  Claim claim = Resolve(std::move(mine), value);
  std::lock_guard lock(mu_);
  if (claim.state == ClaimState::kOwned) ++counts_.acquired;
  return claim;
}

/** Writes `value` if the key is as `mine.version` has it, until it is clear
 * whose it is. */
Claim ClaimTable::Resolve(Claim mine, const std::string& value) {
  const int64_t expected = mine.version;  // kAbsent, or a released record
  for (int i = 0; i < kResolveAttempts; ++i) {
    auto put = store_.Put(mine.subject.key, value, expected);
    if (put) {
      mine.state = ClaimState::kOwned;
      mine.version = put.value().version;
      return mine;
    }
    // A conflict or an answer not to be trusted: the store's state decides.
    auto got = store_.Get(mine.subject.key);
    if (!got) continue;
    mine = Judge(std::move(mine), got.value());
    if (mine.state != ClaimState::kFree) return mine;
    if (mine.version != expected) {
      // Guard: another attempt held the key since this one began, did not run
      // and told its caller so. Running now would make that untrue.
      mine.state = ClaimState::kInFlightElsewhere;
      return mine;
    }
  }
  // Unknown whether our write applied, or will. Nothing was sent; a release
  // is kept so that a claim we may hold does not block the caller's retry.
  mine.state = ClaimState::kStoreDown;
  Keep({mine, "", 0, true});
  return mine;
}

bool ClaimTable::TryComplete(const Pending& p) {
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
  if (!got) return got.error().code == Errc::kStoreNotFound;  // swept
  // A lost answer: the write is there if the record is ours and done.
  const ClaimRecord record = DecodeClaim(got.value().value);
  return record.token != p.claim.token || record.phase == ClaimPhase::kDone;
}

bool ClaimTable::Complete(const Claim& claim, std::string_view result,
                          int64_t keep_until_unix_ms) {
  Pending p{claim, std::string(result), keep_until_unix_ms, false};
  if (TryComplete(p)) return true;
  Keep(std::move(p));
  return false;
}

bool ClaimTable::TryRelease(const Claim& claim) {
  constexpr int64_t kKeepReleasedMs = 600'000;
  constexpr int64_t kMicrosPerMs = 1000;
  const std::string released = EncodeClaim(
      {ClaimPhase::kReleased, claim.token, instance_, claim.subject.fingerprint,
       utils::NowUnixMicros() / kMicrosPerMs + kKeepReleasedMs, ""});
  auto got = store_.Get(claim.subject.key);
  if (!got && got.error().code != Errc::kStoreNotFound) return false;
  int64_t expected = store::kAbsent;
  if (got) {
    const ClaimRecord record = DecodeClaim(got.value().value);
    // Only our own, never-run claim is released; anything else is left be.
    if (record.token != claim.token || record.phase != ClaimPhase::kClaimed) {
      return true;
    }
    expected = got.value().version;
  }
  // Guard: a create that timed out may still apply after this read found
  // nothing, and would then hold the key for ever. Writing "released" in its
  // place makes the late create fail its precondition.
  if (!store_.Put(claim.subject.key, released, expected)) return false;
  std::lock_guard lock(mu_);
  ++counts_.released;
  return true;
}

void ClaimTable::Release(const Claim& claim) {
  if (!TryRelease(claim)) Keep({claim, "", 0, true});
}

void ClaimTable::Keep(Pending p) {
  std::lock_guard lock(mu_);
  pending_.push_back(std::move(p));
}

void ClaimTable::Recover() {
  std::vector<Pending> work;
  {
    std::lock_guard lock(mu_);
    work.swap(pending_);
  }
  std::vector<Pending> again;
  std::ranges::copy_if(
      work, std::back_inserter(again), [this](const Pending& p) {
        return p.release ? !TryRelease(p.claim) : !TryComplete(p);
      });
  std::lock_guard lock(mu_);
  pending_.insert(pending_.end(), again.begin(), again.end());
}

int ClaimTable::SweepOwn(int64_t now_unix_ms, int most) {
  int swept = 0;
  for (int i = 0; i < most; ++i) {
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
    // One that fails is left to the sweep of all claims.
    if (store_.Delete(oldest.key, oldest.version)) ++swept;
  }
  std::lock_guard lock(mu_);
  counts_.swept += swept;
  return swept;
}

utils::Result<int> ClaimTable::Sweep(int64_t now_unix_ms, int most) {
  auto all = store_.List(kClaimPrefix);
  if (!all) return all.error();
  int swept = 0;
  for (const store::StoredObject& o : all.value().objects) {
    if (swept == most) break;
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
