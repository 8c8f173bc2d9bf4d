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

/** A request of one organisation, told apart by its key. */
ClaimSubject Subject(const std::string& key) {
  return {turmeric::gateway::ClaimStoreKey(
              turmeric::gateway::QualifiedKey("b", "o", "p", key)),
          "fingerprint-of-" + key};
}

constexpr int64_t kKeepUntil = 10'000;

/** A whole attempt: what it sees on arrival, then its claim. */
Claim BeginAndAcquire(ClaimTable& table, const ClaimSubject& subject) {
  const Claim seen = table.Lookup(subject);
  return seen.state == ClaimState::kFree ? table.Acquire(seen, kKeepUntil)
                                         : seen;
}

}  // namespace

TEST_CASE("at most one attempt runs a key, whatever the store does") {
  // A parish crew's felling recommendation is retried through several entry
  // instances while the store loses answers and goes down. Each attempt that
  // is told kOwned runs the work; two such for one key would print the
  // recommendation twice.
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
      // A release says the call certainly did not run; the key is free again.
      if (c.state == ClaimState::kOwned && (step & 0xC0) == 0x80) {
        // completed above
      } else if (c.state == ClaimState::kOwned && (step & 0x0C) == 0x0C) {
        t.Release(c);
        --runs[key];
      }
      t.Recover();
    }
  });
}

TEST_CASE("a lost create answer still gives the claim to its writer") {
  // The store applies our create and the answer is lost. Without reading
  // back, the caller would hear "not run" and its retry would find the key
  // held by a ghost claim for ever.
  MemoryStore store;
  ClaimTable table(store, "entry-1");
  const Claim seen = table.Lookup(Subject("notice-42"));
  store.SetFaults({.outage = false, .lose_answer_rate = 1.0, .seed = 3});
  Claim c = table.Acquire(seen, kKeepUntil);
  CHECK(c.state == ClaimState::kOwned);
  CHECK(table.counts().lost_answers_resolved == 1);
}

TEST_CASE("a finished claim replays its answer to a retry elsewhere") {
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

TEST_CASE("a claim taken during an outage is released when the store is back") {
  // The store is down when a claim is tried: the caller hears "not run".
  // If our create had applied, the key would stay blocked; Recover must
  // release it so the caller's retry can run.
  MemoryStore store;
  ClaimTable table(store, "entry-1");
  store.SetFaults({.outage = true});
  CHECK(BeginAndAcquire(table, Subject("k")).state == ClaimState::kStoreDown);
  store.SetFaults({});
  table.Recover();
  CHECK(table.pending() == 0);
  CHECK(BeginAndAcquire(table, Subject("k")).state == ClaimState::kOwned);
}

TEST_CASE("a restarted instance does not take its dead predecessor's claim") {
  // entry-1 claims a felling recommendation, sends it and dies. It restarts
  // under its old name (no disks: counters start anew) and the first retry
  // it sees is for that key. With tokens of name and counter the old claim
  // looked like its own, and the recommendation was sent twice.
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

TEST_CASE("a create that applies late does not hold the key for ever") {
  // The store times out on a claim's create. The claim is given up (the read
  // shows nothing), and only then does the create take effect. The release
  // must have closed the door, or every retry would hear "in flight".
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
  REQUIRE(BeginAndAcquire(table, Subject("k")).state == ClaimState::kStoreDown);
  store.hold = false;
  table.Recover();
  CHECK_FALSE(
      store.Put(store.late_key, store.late_value, turmeric::store::kAbsent));
  CHECK(BeginAndAcquire(table, Subject("k")).state == ClaimState::kOwned);
}

TEST_CASE("an older attempt cannot run what was told not to have run") {
  // A crew's first attempt is slow in its idempotent stages. Its resend
  // claims the key, finds no upstream, releases it and is told "not run".
  // The first attempt then reaches its claim: taking the released key, it
  // would print after all. Only an attempt begun after the release may.
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

TEST_CASE("claims are swept once past their time, and not before") {
  // Claims would fill the store for ever; swept too early, a retry would
  // print again.
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

TEST_CASE("an instance sweeps its own claims without listing the store") {
  // Listing every claim each minute moved megabytes; the instance knows what
  // it completed. A claim it no longer owns (swept, made anew) is left alone.
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

TEST_CASE("qualified keys of different requests never meet") {
  // "a/b" as an organisation's name or a caller's key must not make two
  // requests look like one.
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
