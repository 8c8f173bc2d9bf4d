#include "turmeric/gateway/claim_table.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>

#include "turmeric/store/memory_store.h"

using turmeric::gateway::Claim;
using turmeric::gateway::ClaimState;
using turmeric::gateway::ClaimTable;
using turmeric::store::MemoryStore;

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
      Claim c = t.Acquire("arvoredo", key, 0);
      if (c.state == ClaimState::kOwned) {
        ++runs[key];
        RC_ASSERT(runs[key] <= 1);
        if (step & 0x80) t.Complete(c, "done");
      }
      if (c.state == ClaimState::kStoreDown) {
        // Told "not run": the store must not show it as done by us.
        RC_ASSERT(true);
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
  store.SetFaults({.outage = false, .lose_answer_rate = 1.0, .seed = 3});
  Claim c = table.Acquire("nilelight", "notice-42", 0);
  CHECK(c.state == ClaimState::kOwned);
  CHECK(table.counts().lost_answers_resolved == 1);
}

TEST_CASE("a finished claim replays its answer to a retry elsewhere") {
  MemoryStore store;
  ClaimTable a(store, "entry-1");
  ClaimTable b(store, "entry-2");
  Claim c = a.Acquire("nilelight", "notice-7", 0);
  REQUIRE(c.state == ClaimState::kOwned);
  CHECK(b.Acquire("nilelight", "notice-7", 0).state ==
        ClaimState::kInFlightElsewhere);
  REQUIRE(a.Complete(c, "{\"output\":\"printed\"}"));
  Claim replay = b.Acquire("nilelight", "notice-7", 0);
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
  CHECK(table.Acquire("nilelight", "k", 0).state == ClaimState::kStoreDown);
  store.SetFaults({});
  table.Recover();
  CHECK(table.pending() == 0);
  CHECK(table.Acquire("nilelight", "k", 0).state == ClaimState::kOwned);
}
