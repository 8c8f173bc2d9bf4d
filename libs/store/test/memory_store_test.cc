#include "turmeric/store/memory_store.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

using turmeric::store::kAbsent;
using turmeric::store::MemoryStore;
using turmeric::utils::Errc;

TEST_CASE("conditional create admits exactly one writer") {
  rc::prop("n racing creators, one wins", [](uint8_t n) {
    MemoryStore store;
    int wins = 0;
    for (int i = 0; i <= n % 16; ++i) {
      if (store.Put("k", std::to_string(i), kAbsent)) ++wins;
    }
    RC_ASSERT(wins == 1);
  });
}

TEST_CASE("a write whose answer is lost is applied") {
  // The platform applies a write, and its answer is lost. The writer receives
  // an error, but the object exists at version 1.
  MemoryStore store;
  store.SetFaults({.outage = false, .lose_answer_rate = 1.0, .seed = 7});
  auto put = store.Put("k", "v", kAbsent);
  REQUIRE_FALSE(put);
  CHECK(put.error().code == Errc::kStoreAnswerLost);
  store.SetFaults({});
  auto got = store.Get("k");
  REQUIRE(got);
  CHECK(got.value().version == 1);
}

TEST_CASE("a watch resumed after an outage misses no change") {
  // A settings watch breaks when a store outage begins. All changes made before
  // and after the outage must be delivered once the watch is started again from
  // its last revision.
  MemoryStore store;
  std::vector<std::string> received;
  int64_t last_revision = 0;
  bool broken = false;
  auto cb =
      [&](const turmeric::utils::Result<turmeric::store::StoredObject>& r) {
        if (!r) {
          broken = true;
          return;
        }
        received.push_back(r.value().value);
        last_revision = r.value().revision;
      };
  REQUIRE(store.Watch("config/", 0, cb));
  REQUIRE(store.Put("config/a", "1", kAbsent));
  store.SetFaults({.outage = true});
  CHECK(broken);
  store.SetFaults({});
  REQUIRE(store.Put("config/a", "2", 1));
  REQUIRE(store.Watch("config/", last_revision, cb));
  CHECK(received == std::vector<std::string>{"1", "2"});
}
