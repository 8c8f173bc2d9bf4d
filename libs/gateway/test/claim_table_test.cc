#include "turmeric/gateway/claim_table.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>

#include "turmeric/store/memory_store.h"

using turmeric::gateway::Claim;
using turmeric::gateway::ClaimState;
using turmeric::gateway::ClaimSubject;
using turmeric::gateway::ClaimTable;
using turmeric::store::MemoryStore;

namespace {

/** @return the claim subject of a request that is identified by its key. */
ClaimSubject Subject(const std::string& key) {
  return {turmeric::gateway::ClaimStoreKey(
              turmeric::gateway::QualifiedKey("b", "o", "p", key)),
          "fingerprint-of-" + key};
}

constexpr int64_t kKeepUntil = 10'000;

/** Makes a complete attempt: lookup on arrival, then acquisition. */
Claim BeginAndAcquire(ClaimTable& table, const ClaimSubject& subject) {
  const Claim seen = table.Lookup(subject);
  return seen.state == ClaimState::kFree ? table.Acquire(seen, kKeepUntil)
                                         : seen;
}

}  // namespace

TEST_CASE("at most one attempt runs a key despite store faults") {
  // Guards against double execution: an operation is retried through several
  // entry instances while the store loses answers and has outages. Each attempt
  // that gets kOwned runs the work, so two owners of one key would run it
  // twice.
  rc::prop("owners per key <= 1", [](std::vector<uint8_t> script) {
    MemoryStore store;
    std::vector<std::unique_ptr<ClaimTable>> instances;
    for (int i = 0; i < 4; ++i) {
      instances.push_back(
          std::make_unique<ClaimTable>(store, "entry-" + std::to_string(i)));
    }
    std::map<std::string, int> runs;
    uint64_t seed = 1;
    for (uint8_t step : script) {
      store.SetFaults({.outage = (step & 0x30) == 0x30,
                       .lose_answer_rate = (step & 0x40) ? 0.5 : 0.0,
                       .seed = seed++});
      ClaimTable& t = *instances[step % 4];
      const std::string key = "k" + std::to_string((step >> 2) % 3);
      Claim c = BeginAndAcquire(t, Subject(key));
      if (c.state == ClaimState::kOwned) {
        ++runs[key];
        RC_ASSERT(runs[key] <= 1);
        if (step & 0x80) t.Complete(c, "done", kKeepUntil);
      }
      // A release means that the call certainly did not run; the key is free
      // again.
      if (c.state == ClaimState::kOwned && (step & 0xC0) == 0x80) {
        // already completed
      } else if (c.state == ClaimState::kOwned && (step & 0x0C) == 0x0C) {
        t.Release(c);
        --runs[key];
      }
      t.RetryPendingClaims();
    }
  });
}

TEST_CASE("a create whose answer is lost gives the claim to its writer") {
  // Guards against orphaned claims: the store applies the create but its answer
  // is lost. Without reading back, the caller would receive "not run" and its
  // retries would find the key claimed.
  MemoryStore store;
  ClaimTable table(store, "entry-1");
  const Claim seen = table.Lookup(Subject("notice-42"));
  store.SetFaults({.outage = false, .lose_answer_rate = 1.0, .seed = 3});
  Claim c = table.Acquire(seen, kKeepUntil);
  CHECK(c.state == ClaimState::kOwned);
  CHECK(table.counts().lost_answers_resolved == 1);
}

TEST_CASE(
    "a completed claim replays its answer to a retry on another instance") {
  MemoryStore store;
  ClaimTable a(store, "entry-1");
  ClaimTable b(store, "entry-2");
  Claim c = BeginAndAcquire(a, Subject("notice-7"));
  REQUIRE(c.state == ClaimState::kOwned);
  CHECK(BeginAndAcquire(b, Subject("notice-7")).state ==
        ClaimState::kInFlightElsewhere);
  REQUIRE(a.Complete(c, "{\"output\":\"printed\"}", kKeepUntil));
  Claim replay = BeginAndAcquire(b, Subject("notice-7"));
  CHECK(replay.state == ClaimState::kDone);
  CHECK(replay.result == "{\"output\":\"printed\"}");
}

TEST_CASE("a claim attempted during an outage is released after the outage") {
  // Guards against a blocked key: the claim is attempted during a store outage.
  // The create might have been applied, so RetryPendingClaims must release the
  // key for the caller's retry.
  MemoryStore store;
  ClaimTable table(store, "entry-1");
  store.SetFaults({.outage = true});
  CHECK(BeginAndAcquire(table, Subject("k")).state ==
        ClaimState::kStoreUnreachable);
  store.SetFaults({});
  table.RetryPendingClaims();
  CHECK(table.pending() == 0);
  CHECK(BeginAndAcquire(table, Subject("k")).state == ClaimState::kOwned);
}

TEST_CASE("a restarted instance does not own the claim of its previous start") {
  // Guards against token reuse: an instance claims a key, sends the call and
  // crashes. It restarts under the same name without local state and receives
  // the first retry. With tokens made of name and counter the old claim looks
  // like its own, and the call is sent twice.
  MemoryStore store;
  {
    ClaimTable before(store, "entry-1");
    REQUIRE(BeginAndAcquire(before, Subject("tree-5")).state ==
            ClaimState::kOwned);
  }
  ClaimTable after(store, "entry-1");
  CHECK(BeginAndAcquire(after, Subject("tree-5")).state ==
        ClaimState::kInFlightElsewhere);
}

TEST_CASE("a create that is applied late does not block the key") {
  // Guards against a late create: the store times out on a claim's create, the
  // claim is abandoned after a read finds nothing, and only then is the create
  // applied. The release record must make the create fail, or every retry would
  // find the key in flight.
  struct LateStore : MemoryStore {
    turmeric::utils::Result<turmeric::store::StoredObject> Put(
        std::string_view key, std::string_view value,
        int64_t expected) override {
      if (hold) {
        late_key = key;
        late_value = value;
        return turmeric::utils::Fail(turmeric::utils::Errc::kStoreUnavailable,
                                     "timed out");
      }
      return MemoryStore::Put(key, value, expected);
    }
    bool hold = false;
    std::string late_key, late_value;
  };
  LateStore store;
  ClaimTable table(store, "entry-1");
  store.hold = true;
  REQUIRE(BeginAndAcquire(table, Subject("k")).state ==
          ClaimState::kStoreUnreachable);
  store.hold = false;
  table.RetryPendingClaims();
  CHECK_FALSE(
      store.Put(store.late_key, store.late_value, turmeric::store::kAbsent));
  CHECK(BeginAndAcquire(table, Subject("k")).state == ClaimState::kOwned);
}

TEST_CASE("an older attempt cannot run a request answered as not run") {
  // Guards against running after a "not run" answer: an attempt is slow in its
  // idempotent stages. Its retry claims the key, finds no upstream, releases
  // the key and answers "not run". If the slow attempt could then acquire the
  // released key, that answer would be false. Only an attempt begun after the
  // release may acquire the key.
  MemoryStore store;
  ClaimTable slow(store, "entry-1");
  ClaimTable resend(store, "entry-2");
  const Claim seen_by_slow = slow.Lookup(Subject("k"));
  const Claim claim = BeginAndAcquire(resend, Subject("k"));
  REQUIRE(claim.state == ClaimState::kOwned);
  resend.Release(claim);
  CHECK(slow.Acquire(seen_by_slow, kKeepUntil).state ==
        ClaimState::kInFlightElsewhere);
  CHECK(BeginAndAcquire(slow, Subject("k")).state == ClaimState::kOwned);
}

TEST_CASE("claims are swept after expiry and not before") {
  // Guards against claims that accumulate in the store, and against a sweep
  // before expiry, after which a retry would run the request twice.
  MemoryStore store;
  ClaimTable table(store, "entry-1");
  const Claim done = BeginAndAcquire(table, Subject("done"));
  REQUIRE(table.Complete(done, "{}", 2 * kKeepUntil));
  REQUIRE(BeginAndAcquire(table, Subject("open")).state == ClaimState::kOwned);
  CHECK(table.Sweep(kKeepUntil, 10).value() == 0);
  CHECK(table.Sweep(kKeepUntil + 1, 10).value() == 1);
  CHECK(table.Lookup(Subject("open")).state == ClaimState::kFree);
  CHECK(table.Lookup(Subject("done")).state == ClaimState::kDone);
}

TEST_CASE(
    "an instance sweeps the claims it completed without listing the store") {
  // Guards against a listing of all claims every minute, which would transfer
  // megabytes: the instance has a record of the claims it completed. A claim
  // that was swept and created again by another owner must stay.
  MemoryStore store;
  ClaimTable table(store, "entry-1");
  for (const char* key : {"a", "b"}) {
    const Claim c = BeginAndAcquire(table, Subject(key));
    REQUIRE(table.Complete(c, "{}", kKeepUntil));
  }
  REQUIRE(store.Put(Subject("b").key, "someone else's", 2));
  const auto reads = store.counts().reads;
  CHECK(table.SweepOwn(kKeepUntil, 10) == 0);
  CHECK(table.SweepOwn(kKeepUntil + 1, 10) == 1);
  CHECK(store.counts().reads == reads);
  CHECK(table.Lookup(Subject("a")).state == ClaimState::kFree);
  CHECK(store.Get(Subject("b").key).value().value == "someone else's");
}

TEST_CASE("qualified keys of different requests differ") {
  // Guards against ambiguous keys: a "/" in an organisation's name or in an
  // idempotency key must not give two requests the same qualified key.
  rc::prop("equal only if every part is", [] {
    using turmeric::gateway::QualifiedKey;
    const auto part = rc::gen::container<std::string>(
        rc::gen::element('a', '/', '%', '2', 'F', '\xff', '\xfe'));
    const auto a = *rc::gen::container<std::vector<std::string>>(4, part);
    const auto b = *rc::gen::container<std::vector<std::string>>(4, part);
    RC_ASSERT((QualifiedKey(a[0], a[1], a[2], a[3]) ==
               QualifiedKey(b[0], b[1], b[2], b[3])) == (a == b));
  });
}
