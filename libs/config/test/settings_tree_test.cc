#include "turmeric/config/settings_tree.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "turmeric/store/memory_store.h"

using turmeric::config::SettingsKey;
using turmeric::config::SettingsTree;
using turmeric::store::kAnyVersion;
using turmeric::store::MemoryStore;

namespace {
void PutAllLevels(MemoryStore& s) {
  s.Put(SettingsKey("group", "", ""), "deadline_ms = 6000\nmax_inflight = 8\n",
        kAnyVersion);
  s.Put(SettingsKey("business", "nile", ""),
        "pool.llm.upstreams = 127.0.0.1:1\npool.llm.kind = engine\n",
        kAnyVersion);
  s.Put(SettingsKey("pipeline", "nile", "p"),
        "stages = generate\nstage.generate.pool = llm\ndeadline_ms = 3000\n",
        kAnyVersion);
  s.Put(SettingsKey("organisation", "nile", "o"), "max_inflight = 2\n",
        kAnyVersion);
}
}  // namespace

TEST_CASE("a level inherits the keys that it does not state") {
  MemoryStore store;
  PutAllLevels(store);
  SettingsTree tree(store);
  REQUIRE(tree.Arm());
  auto r = tree.Resolve("nile", "p", "o");
  REQUIRE(r);
  CHECK(r.value().deadline_ms == 3000);         // pipeline over group
  CHECK(r.value().max_inflight == 2);           // organisation over group
  CHECK(r.value().retry_budget_percent == 10);  // built-in default
  REQUIRE(r.value().stages.size() == 1);
  CHECK(r.value().stages[0].kind == "engine");  // from business
  CHECK_FALSE(tree.Resolve("nile", "p", "nobody"));
}

TEST_CASE("an accepted setting never reverts under replayed changes") {
  // A watch that is resumed after an outage may replay changes in any order. An
  // older revision that arrives after a newer one must not restore the old
  // value.
  rc::prop("apply in any order ends at the newest",
           [](std::vector<uint8_t> order) {
             RC_PRE(!order.empty());
             MemoryStore store;
             SettingsTree tree(store);
             std::vector<turmeric::store::StoredObject> changes;
             for (size_t i = 0; i < order.size(); ++i) {
               changes.push_back(
                   {"config/group",
                    "max_inflight = " + std::to_string(order[i] % 100 + 1),
                    static_cast<int64_t>(i + 1), static_cast<int64_t>(i + 1),
                    false});
             }
             auto shuffled = *rc::gen::arbitrary<std::vector<size_t>>();
             for (size_t pick : shuffled) {
               tree.Apply(changes[pick % changes.size()]);
             }
             for (const auto& c : changes) tree.Apply(c);
             RC_ASSERT(tree.revision() == static_cast<int64_t>(changes.size()));
             tree.Apply(changes.front());
             RC_ASSERT(tree.revision() == static_cast<int64_t>(changes.size()));
           });
}

TEST_CASE("changes made during a store outage arrive after re-arm") {
  MemoryStore store;
  PutAllLevels(store);
  SettingsTree tree(store);
  REQUIRE(tree.Arm());
  store.SetFaults({.outage = true});
  CHECK_FALSE(tree.armed());
  CHECK(tree.Resolve("nile", "p", "o"));  // served from the cache
  store.SetFaults({});
  store.Put(SettingsKey("organisation", "nile", "o"), "max_inflight = 5\n",
            kAnyVersion);
  REQUIRE(tree.Arm());
  CHECK(tree.Resolve("nile", "p", "o").value().max_inflight == 5);
}
