#include "turmeric/routing/upstream_table.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::routing::Clock;
using turmeric::routing::IsListed;
using turmeric::routing::UpstreamEntry;
using turmeric::routing::UpstreamPtr;
using turmeric::routing::UpstreamTable;

namespace {

const Clock::time_point kNow = Clock::time_point(100s);

UpstreamEntry Entry(std::string id, bool draining = false) {
  return {.id = std::move(id),
          .service = "s",
          .address = "10.0.0.1:80",
          .zone = "z",
          .slots = 1,
          .draining = draining};
}

}  // namespace

TEST_CASE("a draining entry gets no new work at once") {
  UpstreamTable table;
  table.Put(Entry("a"));
  REQUIRE(IsListed(*table.Find("a"), kNow));
  table.Put(Entry("a", true));
  REQUIRE_FALSE(IsListed(*table.Find("a"), kNow));
}

TEST_CASE("a removed entry is dropped, its holders see it") {
  UpstreamTable table;
  table.Put(Entry("a"));
  const UpstreamPtr held = table.Find("a");
  table.Remove("a", kNow);
  table.Expire(kNow);
  REQUIRE(table.Find("a") == nullptr);
  REQUIRE(table.ForService("s").empty());
  REQUIRE_FALSE(IsListed(*held, kNow));
}

// Story: the store is away for some seconds, and entries lapse though their
// processes live. When it returns, the list lacks them for a second or two.
// Dropped at once, callers would get 503 with every upstream healthy; kept
// for ever, a process that is gone would get work.
TEST_CASE("entries missing after an outage are kept for the grace only") {
  UpstreamTable table;
  table.Put(Entry("back"));
  table.Put(Entry("gone"));
  table.ReplaceAll(std::vector<UpstreamEntry>{}, kNow + 2s);
  table.Expire(kNow + 1s);
  REQUIRE(table.ForService("s").size() == 2);
  table.Put(Entry("back"));
  table.Expire(kNow + 2s);
  REQUIRE(table.Find("back") != nullptr);
  REQUIRE(table.Find("gone") == nullptr);
}

TEST_CASE("an entry that has left is told of once it drains and once gone") {
  UpstreamTable table;
  std::vector<bool> listed;
  table.set_on_leave(
      [&](const UpstreamPtr& u) { listed.push_back(u->listed); });
  table.Put(Entry("a"));
  table.Put(Entry("a", true));
  table.Put(Entry("a", true));
  table.Remove("a", kNow);
  table.Expire(kNow);
  REQUIRE(listed == std::vector<bool>{true, false});
}
