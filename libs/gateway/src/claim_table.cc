#include "turmeric/gateway/claim_table.h"

#include <algorithm>

#include "details/claim_record.h"

namespace turmeric::gateway {

using details::ClaimRecord;
using details::DecodeClaim;
using details::EncodeClaim;
using utils::Errc;

namespace {
constexpr int kReadBackAttempts = 3;
}  // namespace

ClaimTable::ClaimTable(store::ObjectStore& store, std::string instance)
    : store_(store), instance_(std::move(instance)) {}

Claim ClaimTable::Acquire(std::string_view business,
                          std::string_view idempotency_key,
                          int64_t expires_unix_ms) {
  Claim mine;
  mine.key =
      "claims/" + std::string(business) + "/" + std::string(idempotency_key);
  {
    std::lock_guard lock(mu_);
    // Unique per attempt: instance name plus a local sequence. Retries of
    // the same request through this instance get new tokens too.
    mine.token = instance_ + "#" + std::to_string(++sequence_);
  }
  const std::string value =
      EncodeClaim({"claimed", mine.token, instance_, expires_unix_ms, ""});
  auto put = store_.Put(mine.key, value, store::kAbsent);
  if (put) {
    std::lock_guard lock(mu_);
    ++counts_.acquired;
    mine.state = ClaimState::kOwned;
    mine.version = put.value().version;
    return mine;
  }
  // Conflict or an answer we cannot trust: the store's state decides.
  return ReadBack(mine, kReadBackAttempts);
}

Claim ClaimTable::ReadBack(Claim mine, int attempts) {
  for (int i = 0; i < attempts; ++i) {
    auto got = store_.Get(mine.key);
    if (!got && got.error().code == Errc::kStoreNotFound) {
      // Our create did not apply; try it once more.
      auto put = store_.Put(
          mine.key, EncodeClaim({"claimed", mine.token, instance_, 0, ""}),
          store::kAbsent);
      if (put) {
        mine.state = ClaimState::kOwned;
        mine.version = put.value().version;
        return mine;
      }
      continue;
    }
    if (!got) continue;
    const ClaimRecord rec = DecodeClaim(got.value().value);
    if (rec.token == mine.token && rec.state == "claimed") {
      // Guard: the store applied our create but lost its answer. Without
      // this read-back the caller would be told "not run" while the claim
      // is ours, and every retry would then find it held forever.
      std::lock_guard lock(mu_);
      ++counts_.lost_answers_resolved;
      mine.state = ClaimState::kOwned;
      mine.version = got.value().version;
      return mine;
    }
    if (rec.state == "done") {
      std::lock_guard lock(mu_);
      ++counts_.replayed;
      mine.state = ClaimState::kDone;
      mine.result = rec.result;
      return mine;
    }
    mine.state = ClaimState::kInFlightElsewhere;
    return mine;
  }
  // Unknown whether our create applied. Nothing ran; queue a release so a
  // claim we may hold does not block the caller's retry for ever.
  mine.state = ClaimState::kStoreDown;
  std::lock_guard lock(mu_);
  pending_.push_back({mine, "", true});
  return mine;
}

bool ClaimTable::TryComplete(const Claim& claim, std::string_view result) {
  const std::string value =
      EncodeClaim({"done", claim.token, instance_, 0, std::string(result)});
  auto put = store_.Put(claim.key, value, claim.version);
  if (put) return true;
  auto got = store_.Get(claim.key);
  // A lost answer: the write is there if the record is ours and done.
  return got && DecodeClaim(got.value().value).token == claim.token &&
         DecodeClaim(got.value().value).state == "done";
}

bool ClaimTable::Complete(const Claim& claim, std::string_view result) {
  if (TryComplete(claim, result)) return true;
  std::lock_guard lock(mu_);
  pending_.push_back({claim, std::string(result), false});
  return false;
}

bool ClaimTable::TryRelease(const Claim& claim) {
  auto got = store_.Get(claim.key);
  if (!got) return got.error().code == Errc::kStoreNotFound;
  const ClaimRecord rec = DecodeClaim(got.value().value);
  // Only our own, never-run claim is released; anything else is left be.
  if (rec.token != claim.token || rec.state != "claimed") return true;
  auto del = store_.Delete(claim.key, got.value().version);
  if (del || del.error().code == Errc::kStoreNotFound) {
    std::lock_guard lock(mu_);
    ++counts_.released;
    return true;
  }
  return false;
}

void ClaimTable::Release(const Claim& claim) {
  if (TryRelease(claim)) return;
  std::lock_guard lock(mu_);
  pending_.push_back({claim, "", true});
}

void ClaimTable::Recover() {
  std::vector<Pending> work;
  {
    std::lock_guard lock(mu_);
    work.swap(pending_);
  }
  std::vector<Pending> again;
  std::ranges::copy_if(work, std::back_inserter(again),
                       [this](const Pending& p) {
                         return p.release ? !TryRelease(p.claim)
                                          : !TryComplete(p.claim, p.result);
                       });
  std::lock_guard lock(mu_);
  pending_.insert(pending_.end(), again.begin(), again.end());
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
