#include "turmeric/routing/upstream_table.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::routing::Clock;
using turmeric::routing::IsAvoided;
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

namespace {

UpstreamEntry EntryOfStart(std::string id, int64_t started_unix_ms,
                           bool draining = false) {
  UpstreamEntry entry = Entry(std::move(id), draining);
  entry.started_unix_ms = started_unix_ms;
  return entry;
}

}  // namespace

// Story: an upstream crashes after a series of failures and starts again under
// its id. It is healthy, yet callers' requests avoid it for seconds, and its
// memory counts as full of results that went with its earlier start.
TEST_CASE("a later start under a known id is an upstream without history") {
  UpstreamTable table;
  std::vector<bool> left;
  table.set_on_leave([&](const UpstreamPtr& u) { left.push_back(u->listed); });
  table.Put(EntryOfStart("a", 1000));
  const UpstreamPtr before = table.Find("a");
  before->ejected_till = kNow + 4s;
  before->latency_ms = 900;
  UpstreamEntry again = EntryOfStart("a", 2000);
  again.address = "10.0.0.2:80";
  table.Put(again);
  const UpstreamPtr after = table.Find("a");
  REQUIRE(after != before);
  REQUIRE(before->restarted);
  REQUIRE_FALSE(before->listed);
  REQUIRE(left == std::vector<bool>{false});
  REQUIRE(after->entry.address == "10.0.0.2:80");
  REQUIRE(after->latency_ms == 0);
  REQUIRE_FALSE(IsAvoided(*after, kNow));
  REQUIRE(table.ForService("s").size() == 1);
}

// Story: the last words of a start (draining) are read after the entry of the
// next one, from a list that is seconds old. Taken as news, the process that
// runs now would get no work until its next heartbeat.
TEST_CASE("an earlier start is never taken for a later one") {
  UpstreamTable table;
  table.Put(EntryOfStart("a", 2000));
  table.Put(EntryOfStart("a", 1000, true));
  table.Put(EntryOfStart("a", 0, true));
  REQUIRE(IsListed(*table.Find("a"), kNow));
  REQUIRE(table.Find("a")->entry.started_unix_ms == 2000);
  // Also when a list brings both up to date.
  table.ReplaceAll(std::vector<UpstreamEntry>{EntryOfStart("a", 1000)}, kNow);
  table.Expire(kNow);
  REQUIRE(table.Find("a")->entry.started_unix_ms == 2000);
}

TEST_CASE("a start that follows a drained one takes work again") {
  UpstreamTable table;
  table.Put(EntryOfStart("a", 1000, true));
  REQUIRE_FALSE(IsListed(*table.Find("a"), kNow));
  table.Put(EntryOfStart("a", 2000));
  REQUIRE(IsListed(*table.Find("a"), kNow));
}

// Guards against work for an upstream that a store from an older copy lists as
// if it had not begun to leave.
TEST_CASE("an upstream that leaves goes on leaving") {
  UpstreamTable table;
  table.Put(Entry("i-1", true));
  table.Put(Entry("i-1", false));
  REQUIRE(table.Find("i-1")->entry.draining);
}

// Guards against work for an upstream that has left and that an older copy
// lists.
TEST_CASE("an entry of a copy does not bring back an upstream that has left") {
  UpstreamTable table;
  const auto now = Clock::time_point(100s);
  table.Put(Entry("i-1"));
  table.Remove("i-1", now);
  table.Expire(now);
  const std::vector<UpstreamEntry> copy{Entry("i-1"), Entry("i-2")};
  table.ReplaceAll(copy, now, now + 5s);
  REQUIRE_FALSE(table.Find("i-1"));
  REQUIRE(table.Find("i-2"));
  SECTION("another list says nothing new") {
    table.ReplaceAll(copy, now);
    table.Expire(now + 4s);
    REQUIRE_FALSE(table.Find("i-1"));
  }
  SECTION("its removal does") {
    table.Remove("i-1", now + 1s);
    table.Expire(now + 6s);
    REQUIRE_FALSE(table.Find("i-1"));
  }
  SECTION("what was written again brings it back at once") {
    table.Put(Entry("i-1"));
    REQUIRE(table.Find("i-1"));
  }
  SECTION("it is alive if its entry does not lapse") {
    table.Expire(now + 5s);
    REQUIRE(table.Find("i-1"));
  }
}
