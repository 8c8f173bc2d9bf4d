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

TEST_CASE("an upstream gets no new work as soon as its entry drains") {
  UpstreamTable table;
  table.Put(Entry("a"));
  REQUIRE(IsListed(*table.Find("a"), kNow));
  table.Put(Entry("a", true));
  REQUIRE_FALSE(IsListed(*table.Find("a"), kNow));
}

TEST_CASE("a removed upstream is dropped, and its holders find it unlisted") {
  UpstreamTable table;
  table.Put(Entry("a"));
  const UpstreamPtr held = table.Find("a");
  table.Remove("a", kNow);
  table.Expire(kNow);
  REQUIRE(table.Find("a") == nullptr);
  REQUIRE(table.ForService("s").empty());
  REQUIRE_FALSE(IsListed(*held, kNow));
}

// Guards against two faults after the store was unreachable for some seconds:
// entries expire although their processes run, and are missing from the list
// for a second or two after the store is reachable again. If they are dropped
// at once, callers get 503 while every upstream is healthy; if they are kept
// for ever, processes that have ended get work.
TEST_CASE(
    "entries missing after an outage are kept for the grace period only") {
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

TEST_CASE("the leave callback runs once for draining and once for the drop") {
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

// Guards against keeping the history of an upstream that crashes after a series
// of failures and restarts under its id: though healthy, it would be avoided
// for seconds, and its memory would count as full of results that were lost
// with the crash.
TEST_CASE("a later start under a known id is an upstream without history") {
  UpstreamTable table;
  std::vector<bool> left;
  table.set_on_leave([&](const UpstreamPtr& u) { left.push_back(u->listed); });
  table.Put(EntryOfStart("a", 1000));
  const UpstreamPtr before = table.Find("a");
  before->ejected_until = kNow + 4s;
  before->latency_ms = 900;
  before->load.OnReport({.running = 3, .at = kNow});
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
  REQUIRE_FALSE(after->load.report());
  REQUIRE_FALSE(IsAvoided(*after, kNow));
  REQUIRE(table.ForService("s").size() == 1);
}

// Guards against lending the version of a process to its successor, whose entry
// does not state its start.
TEST_CASE("another software version under a known id is another upstream") {
  UpstreamTable table;
  UpstreamEntry entry = EntryOfStart("a", 0);
  entry.version = "v1";
  table.Put(entry);
  const UpstreamPtr before = table.Find("a");
  entry.version = "v2";
  table.Put(entry);
  REQUIRE(table.Find("a") != before);
  REQUIRE(before->entry.version == "v1");
  REQUIRE_FALSE(before->listed);
  REQUIRE(table.Find("a")->entry.version == "v2");
}

// Guards against applying an entry of an earlier start: a list that is seconds
// old can hold its last entry (draining) after the entry of the next start was
// read. The running process would then get no work until its next heartbeat.
TEST_CASE("an entry of an earlier start is ignored") {
  UpstreamTable table;
  table.Put(EntryOfStart("a", 2000));
  table.Put(EntryOfStart("a", 1000, true));
  table.Put(EntryOfStart("a", 0, true));
  REQUIRE(IsListed(*table.Find("a"), kNow));
  REQUIRE(table.Find("a")->entry.started_unix_ms == 2000);
  // An entry of an earlier start is also ignored in a full list.
  table.ReplaceAll(std::vector<UpstreamEntry>{EntryOfStart("a", 1000)}, kNow);
  table.Expire(kNow);
  REQUIRE(table.Find("a")->entry.started_unix_ms == 2000);
}

TEST_CASE("an upstream that restarts after draining gets work again") {
  UpstreamTable table;
  table.Put(EntryOfStart("a", 1000, true));
  REQUIRE_FALSE(IsListed(*table.Find("a"), kNow));
  table.Put(EntryOfStart("a", 2000));
  REQUIRE(IsListed(*table.Find("a"), kNow));
}

// Guards against new work for a draining upstream: a store that was restored
// from an older copy can list the upstream as not yet draining.
TEST_CASE("a draining upstream stays draining") {
  UpstreamTable table;
  table.Put(Entry("i-1", true));
  table.Put(Entry("i-1", false));
  REQUIRE(table.Find("i-1")->entry.draining);
}

// Guards against sending work to an upstream that was removed but is listed by
// a store restored from an older copy.
TEST_CASE("an entry of an older copy does not add an upstream that has left") {
  UpstreamTable table;
  const auto now = Clock::time_point(100s);
  table.Put(Entry("i-1"));
  table.Remove("i-1", now);
  table.Expire(now);
  const std::vector<UpstreamEntry> copy{Entry("i-1"), Entry("i-2")};
  table.ReplaceAll(copy, now, now + 5s);
  REQUIRE_FALSE(table.Find("i-1"));
  REQUIRE(table.Find("i-2"));
  SECTION("a further list with the entry does not add it") {
    table.ReplaceAll(copy, now);
    table.Expire(now + 4s);
    REQUIRE_FALSE(table.Find("i-1"));
  }
  SECTION("its removal discards the entry") {
    table.Remove("i-1", now + 1s);
    table.Expire(now + 6s);
    REQUIRE_FALSE(table.Find("i-1"));
  }
  SECTION("an entry that is written again adds it at once") {
    table.Put(Entry("i-1"));
    REQUIRE(table.Find("i-1"));
  }
  SECTION("an entry that has not lapsed in time adds it") {
    table.Expire(now + 5s);
    REQUIRE(table.Find("i-1"));
  }
}

// Guards against requests to a process that has stated in an answer that it
// leaves, after its entry has lapsed or is listed as ready again.
TEST_CASE("a process that leaves does so whatever the store lists") {
  UpstreamTable table;
  table.Put(Entry("a"));
  const UpstreamPtr held = table.Find("a");
  const bool answers_while_listed = GENERATE(true, false);
  if (answers_while_listed) held->availability->SetLeaving();
  table.Put(Entry("a"));
  table.Remove("a", kNow);
  table.Expire(kNow);
  // A request is still in flight when the entry lapses.
  if (!answers_while_listed) held->availability->SetLeaving();
  table.Put(Entry("a"));
  REQUIRE(table.Find("a") != held);
  REQUIRE_FALSE(IsListed(*table.Find("a"), kNow));
  table.ReplaceAll(std::vector<UpstreamEntry>{Entry("a")}, kNow);
  REQUIRE_FALSE(IsListed(*table.Find("a"), kNow));
}

// Guards against an upstream that is not used because an earlier process with
// its id or its address has left.
TEST_CASE("the successor of a process that leaves is used") {
  UpstreamEntry earlier = Entry("a");
  earlier.started_unix_ms = 1;
  UpstreamTable table;
  table.Put(earlier);
  table.Find("a")->availability->SetLeaving();
  SECTION("under its id") {
    UpstreamEntry later = earlier;
    later.started_unix_ms = 2;
    table.Put(later);
    REQUIRE(IsListed(*table.Find("a"), kNow));
    table.Remove("a", kNow);
    table.Expire(kNow);
    table.Put(later);
    REQUIRE(IsListed(*table.Find("a"), kNow));
  }
  SECTION("under its id, with another version") {
    UpstreamEntry later = earlier;
    later.version = "v2";
    table.Put(later);
    REQUIRE(IsListed(*table.Find("a"), kNow));
  }
  SECTION("under its address") {
    table.Put(Entry("b"));
    REQUIRE(IsListed(*table.Find("b"), kNow));
  }
}
