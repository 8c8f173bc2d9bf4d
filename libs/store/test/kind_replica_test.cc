#include "turmeric/store/kind_replica.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "turmeric/store/change_history.h"

using turmeric::store::ChangeBatch;
using turmeric::store::ChangeHistory;
using turmeric::store::KindReplica;
using turmeric::store::MakePosition;
using turmeric::store::Position;
using turmeric::store::SourceBatch;
using turmeric::store::SourceObject;
using Outcome = turmeric::store::KindReplica::Outcome;

namespace {

SourceObject Object(const std::string& name, int64_t revision,
                    bool deleted = false) {
  return {.name = name, .spec = {}, .revision = revision, .deleted = deleted};
}

KindReplica ListedAt(int64_t revision, std::vector<SourceObject> objects) {
  KindReplica replica;
  replica.MergeList({.objects = std::move(objects), .revision = revision});
  return replica;
}

}  // namespace

TEST_CASE("a batch is merged once") {
  KindReplica replica = ListedAt(10, {Object("a", 4)});
  const ChangeBatch batch{10, 12, {Object("a", 12)}};
  REQUIRE(replica.Merge(batch).news.size() == 1);
  REQUIRE(replica.revision() == 12);
  REQUIRE(replica.newest_change() == 12);
  REQUIRE(replica.Merge(batch).outcome == Outcome::kKnown);
}

// Story: an instance misses a batch in which an upstream begins to leave, and
// gets the next one. Taken for everything up to it, the upstream would be
// given work for ever.
TEST_CASE("a batch whose predecessor is missing changes nothing") {
  KindReplica replica = ListedAt(10, {});
  const auto merged = replica.Merge({12, 14, {Object("b", 13)}});
  REQUIRE(merged.outcome == Outcome::kGap);
  REQUIRE(merged.news.empty());
  REQUIRE(replica.revision() == 10);
}

TEST_CASE("before the first list every batch is a gap") {
  KindReplica replica;
  REQUIRE(replica.Merge({0, 14, {Object("b", 13)}}).outcome == Outcome::kGap);
}

// Story: two relays cut the same changes into different batches. The second
// one's batch reaches further back and holds an older state of an upstream
// that has begun to leave since: it must not be brought back.
TEST_CASE("what overlaps is not applied again") {
  KindReplica replica = ListedAt(10, {Object("a", 4)});
  REQUIRE(replica.Merge({10, 15, {Object("a", 14)}}).news.size() == 1);
  const auto merged =
      replica.Merge({10, 17, {Object("a", 12), Object("b", 16)}});
  REQUIRE(merged.outcome == Outcome::kMerged);
  REQUIRE(merged.news.size() == 1);
  REQUIRE(merged.news[0].name == "b");
}

// Story: an upstream's entry is removed and written again under its name. The
// deletion comes once more by a slower path, with the revision of the entry's
// last change before: the new entry stays.
TEST_CASE("a late deletion does not remove what was written since") {
  KindReplica replica = ListedAt(10, {Object("a", 4)});
  replica.Merge({10, 14, {Object("a", 4, true), Object("a", 13)}});
  const auto merged = replica.Merge({10, 15, {Object("a", 4, true)}});
  REQUIRE(merged.news.empty());
  REQUIRE(replica.revision() == 15);
}

TEST_CASE("a list tells what is missing as deleted") {
  KindReplica replica = ListedAt(10, {Object("a", 4), Object("b", 5)});
  const auto changes = replica.MergeList(
      {.objects = {Object("b", 5), Object("c", 19)}, .revision = 20});
  REQUIRE(changes);
  REQUIRE(changes->follows == 10);
  REQUIRE(changes->revision == 20);
  REQUIRE(changes->objects.size() == 2);
  REQUIRE(changes->objects[0].name == "c");
  REQUIRE(changes->objects[1].name == "a");
  REQUIRE(changes->objects[1].deleted);
}

// Story: a read that may be stale is answered late. The configuration of
// before would come back into force.
TEST_CASE("a list that is older than what is known is not taken") {
  KindReplica replica = ListedAt(10, {Object("a", 4)});
  replica.Merge({10, 14, {Object("a", 13)}});
  REQUIRE_FALSE(
      replica.MergeList({.objects = {Object("a", 4)}, .revision = 12}));
  REQUIRE(replica.revision() == 14);
}

TEST_CASE("a history gives what came after a revision") {
  ChangeHistory history(3);
  REQUIRE_FALSE(history.Since(0));
  history.Add({10, 12, {Object("a", 12)}});
  history.Add({12, 15, {}});
  history.Add({15, 18, {Object("b", 16), Object("c", 18)}});
  REQUIRE(history.Since(10)->objects.size() == 3);
  REQUIRE(history.Since(13)->objects.size() == 2);
  REQUIRE(history.Since(18)->objects.empty());
  REQUIRE(history.Since(30)->revision == 30);
  REQUIRE_FALSE(history.Since(9));
  history.Add({18, 20, {Object("d", 20)}});
  REQUIRE_FALSE(history.Since(10));
  REQUIRE(history.Since(12)->objects.size() == 3);
}

// Story: a relay restarts and lists the store. A follower that knew an upstream
// which has gone meanwhile asks it for what it missed: the list does not tell
// that the upstream is gone, so the follower must see a gap.
TEST_CASE("a first list is no history") {
  KindReplica relay;
  ChangeHistory history(10);
  history.Add(*relay.MergeList(
      {.objects = {Object("a", 4), Object("b", 8)}, .revision = 10}));
  REQUIRE_FALSE(history.Since(5));
  REQUIRE(history.Since(10)->objects.empty());
}

// A store whose objects are written and deleted in any order, and an instance
// that gets any parts of its history, in any order, again and again, lists
// among them: it always holds what the store held at its revision, and the
// revision never goes back.
TEST_CASE("a replica is the store as of its revision") {
  REQUIRE(rc::check("any order of batches", [] {
    using Contents = std::map<std::string, int64_t>;
    const auto writes = *rc::gen::inRange(1, 25);
    const bool deletions_have_own_revision = *rc::gen::arbitrary<bool>();
    std::vector<Contents> at(1);
    std::vector<SourceObject> log;
    for (int i = 1; i <= writes; ++i) {
      const std::string name(1, *rc::gen::inRange('a', 'e'));
      Contents now = at.back();
      const auto held = now.find(name);
      if (held != now.end() && *rc::gen::arbitrary<bool>()) {
        log.push_back(
            Object(name, deletions_have_own_revision ? i : held->second, true));
        now.erase(held);
      } else {
        log.push_back(Object(name, i));
        now[name] = i;
      }
      at.push_back(now);
    }
    KindReplica replica;
    Contents held;
    const auto apply = [&](const std::vector<SourceObject>& news) {
      for (const SourceObject& object : news) {
        if (object.deleted) {
          held.erase(object.name);
        } else {
          held[object.name] = object.revision;
        }
      }
    };
    for (int step = 0; step < 40; ++step) {
      const auto from = *rc::gen::inRange(0, writes + 1);
      const auto till = *rc::gen::inRange(from, writes + 1);
      const int64_t before = replica.revision();
      if (*rc::gen::inRange(0, 4) == 0) {
        SourceBatch list{.objects = {}, .revision = till};
        for (const auto& [name, revision] : at[static_cast<size_t>(till)]) {
          list.objects.push_back(Object(name, revision));
        }
        if (const auto changes = replica.MergeList(list)) {
          apply(changes->objects);
        }
      } else {
        apply(replica
                  .Merge({from, till,
                          std::vector<SourceObject>(log.begin() + from,
                                                    log.begin() + till)})
                  .news);
      }
      RC_ASSERT(replica.revision() >= before);
      if (replica.synced()) {
        RC_ASSERT(held == at[static_cast<size_t>(replica.revision())]);
      }
    }
  }));
}

namespace {

SourceObject With(const std::string& name, const char* content,
                  Position position) {
  return {.name = name,
          .spec = {{"content", content}},
          .revision = position,
          .deleted = false};
}

/** Knows "a" and "b" at revision 30 of era 1. */
KindReplica BeforeReturn() {
  return ListedAt(MakePosition(1, 30), {With("a", "x", MakePosition(1, 10)),
                                        With("b", "y", MakePosition(1, 30))});
}

}  // namespace

// Guards against a list of a store that came back from an older copy being
// dropped for its lower revision.
TEST_CASE("a list of a later era is taken, and only what differs is a change") {
  KindReplica replica = BeforeReturn();
  const auto changes =
      replica.MergeList({.objects = {With("a", "x", MakePosition(2, 10)),
                                     With("c", "z", MakePosition(2, 12))},
                         .revision = MakePosition(2, 20)});
  REQUIRE(changes);
  REQUIRE(changes->follows == MakePosition(1, 30));
  REQUIRE(changes->revision == MakePosition(2, 20));
  REQUIRE(changes->objects.size() == 2);
  REQUIRE(changes->objects[0].name == "c");
  REQUIRE(changes->objects[1].name == "b");
  REQUIRE(changes->objects[1].deleted);
  // A change at a revision that was given out before.
  const auto merged = replica.Merge({MakePosition(2, 20),
                                     MakePosition(2, 25),
                                     {With("a", "w", MakePosition(2, 25))}});
  REQUIRE(merged.news.size() == 1);
}

// Guards against a slow answer that takes back what a new era has told.
TEST_CASE("what an earlier era says is never applied") {
  KindReplica replica = BeforeReturn();
  replica.MergeList({.objects = {}, .revision = MakePosition(2, 20)});
  REQUIRE_FALSE(
      replica.MergeList({.objects = {}, .revision = MakePosition(1, 90)}));
  const auto merged = replica.Merge({MakePosition(1, 30),
                                     MakePosition(1, 90),
                                     {With("a", "w", MakePosition(1, 90))}});
  REQUIRE(merged.outcome == Outcome::kKnown);
  REQUIRE(replica.revision() == MakePosition(2, 20));
}

// Guards against an upstream that stays in use as the relay never knew of it.
TEST_CASE("changes into a later era need the state that they follow") {
  KindReplica replica = BeforeReturn();
  const ChangeBatch from_other{MakePosition(1, 28), MakePosition(2, 20), {}};
  REQUIRE(replica.Merge(from_other).outcome == Outcome::kGap);
  const ChangeBatch from_same{MakePosition(1, 30), MakePosition(2, 20), {}};
  REQUIRE(replica.Merge(from_same).outcome == Outcome::kMerged);
}

// Guards against followers that go over into an era from a state that the
// relay's changes do not start from.
TEST_CASE(
    "a history passes changes into an era only to who knows their start") {
  ChangeHistory history(8);
  history.BeginAt(MakePosition(1, 10));
  history.Add({MakePosition(1, 10), MakePosition(2, 4), {}});
  REQUIRE(history.Since(MakePosition(1, 10)));
  REQUIRE_FALSE(history.Since(MakePosition(1, 12)));
  history.Add({MakePosition(2, 4),
               MakePosition(2, 6),
               {With("a", "x", MakePosition(2, 6))}});
  REQUIRE_FALSE(history.Since(MakePosition(1, 12)));
  REQUIRE(history.Since(MakePosition(1, 10))->objects.size() == 1);
  REQUIRE(history.Since(MakePosition(2, 4))->objects.size() == 1);
}
