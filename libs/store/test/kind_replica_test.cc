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

KindReplica ReplicaFromList(int64_t revision,
                            std::vector<SourceObject> objects) {
  KindReplica replica;
  replica.MergeList({.objects = std::move(objects), .revision = revision});
  return replica;
}

}  // namespace

TEST_CASE("a batch is merged once") {
  KindReplica replica = ReplicaFromList(10, {Object("a", 4)});
  const ChangeBatch batch{10, 12, {Object("a", 12)}};
  REQUIRE(replica.Merge(batch).changes.size() == 1);
  REQUIRE(replica.revision() == 12);
  REQUIRE(replica.newest_change() == 12);
  REQUIRE(replica.Merge(batch).outcome == Outcome::kKnown);
}

// Guards against requests to an upstream that has left. An instance misses the
// batch with the removal and receives the next batch. If it applied the next
// batch, it would advance past the removal, which would never be applied.
TEST_CASE("a batch whose predecessor is missing changes nothing") {
  KindReplica replica = ReplicaFromList(10, {});
  const auto merged = replica.Merge({12, 14, {Object("b", 13)}});
  REQUIRE(merged.outcome == Outcome::kGap);
  REQUIRE(merged.changes.empty());
  REQUIRE(replica.revision() == 10);
}

TEST_CASE("before the first list every batch is a gap") {
  KindReplica replica;
  REQUIRE(replica.Merge({0, 14, {Object("b", 13)}}).outcome == Outcome::kGap);
}

// Guards against an upstream that is restored to an older state. Two relays
// split the same changes into different batches. The second relay's batch
// starts earlier and contains a state of the upstream from before it began to
// leave.
TEST_CASE("overlapping changes are applied only once") {
  KindReplica replica = ReplicaFromList(10, {Object("a", 4)});
  REQUIRE(replica.Merge({10, 15, {Object("a", 14)}}).changes.size() == 1);
  const auto merged =
      replica.Merge({10, 17, {Object("a", 12), Object("b", 16)}});
  REQUIRE(merged.outcome == Outcome::kMerged);
  REQUIRE(merged.changes.size() == 1);
  REQUIRE(merged.changes[0].name == "b");
}

// Guards against the loss of a new entry. An upstream's entry is deleted and
// written again under the same name. The deletion then arrives a second time by
// a slower path, with the revision of the entry's last change before it.
TEST_CASE("a late deletion does not remove a newer object") {
  KindReplica replica = ReplicaFromList(10, {Object("a", 4)});
  replica.Merge({10, 14, {Object("a", 4, true), Object("a", 13)}});
  const auto merged = replica.Merge({10, 15, {Object("a", 4, true)}});
  REQUIRE(merged.changes.empty());
  REQUIRE(replica.revision() == 15);
}

TEST_CASE("objects missing from a list are reported as deleted") {
  KindReplica replica = ReplicaFromList(10, {Object("a", 4), Object("b", 5)});
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

// Guards against an older configuration coming back into force when a read that
// may be stale is answered late.
TEST_CASE("a list older than the replica is ignored") {
  KindReplica replica = ReplicaFromList(10, {Object("a", 4)});
  replica.Merge({10, 14, {Object("a", 13)}});
  REQUIRE_FALSE(
      replica.MergeList({.objects = {Object("a", 4)}, .revision = 12}));
  REQUIRE(replica.revision() == 14);
}

TEST_CASE("a history returns the changes after a revision") {
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

// Guards against a follower that keeps a deleted upstream. A relay restarts and
// lists the store, and a follower with an upstream that was deleted before the
// list requests the missed changes. The list does not contain the deletion, so
// the follower must receive a gap.
TEST_CASE("a history does not reach back before the first list") {
  KindReplica relay;
  ChangeHistory history(10);
  history.Add(*relay.MergeList(
      {.objects = {Object("a", 4), Object("b", 8)}, .revision = 10}));
  REQUIRE_FALSE(history.Since(5));
  REQUIRE(history.Since(10)->objects.empty());
}

// Guards against lost, repeated or reverted changes. Objects are written and
// deleted at random, and an instance receives random parts of the history and
// random lists, in any order and repeatedly. Its state must always equal the
// store's state at its revision, and its revision must never decrease.
TEST_CASE("a replica equals the store at its revision") {
  REQUIRE(rc::check("any order of batches", [] {
    using State = std::map<std::string, int64_t>;
    const auto writes = *rc::gen::inRange(1, 25);
    const bool deletions_have_own_revision = *rc::gen::arbitrary<bool>();
    std::vector<State> states(1);
    std::vector<SourceObject> log;
    for (int i = 1; i <= writes; ++i) {
      const std::string name(1, *rc::gen::inRange('a', 'e'));
      State now = states.back();
      const auto found = now.find(name);
      if (found != now.end() && *rc::gen::arbitrary<bool>()) {
        log.push_back(Object(
            name, deletions_have_own_revision ? i : found->second, true));
        now.erase(found);
      } else {
        log.push_back(Object(name, i));
        now[name] = i;
      }
      states.push_back(now);
    }
    KindReplica replica;
    State state;
    const auto apply = [&](const std::vector<SourceObject>& changes) {
      for (const SourceObject& object : changes) {
        if (object.deleted) {
          state.erase(object.name);
        } else {
          state[object.name] = object.revision;
        }
      }
    };
    for (int step = 0; step < 40; ++step) {
      const auto from = *rc::gen::inRange(0, writes + 1);
      const auto until = *rc::gen::inRange(from, writes + 1);
      const int64_t before = replica.revision();
      if (*rc::gen::inRange(0, 4) == 0) {
        SourceBatch list{.objects = {}, .revision = until};
        for (const auto& [name, revision] :
             states[static_cast<size_t>(until)]) {
          list.objects.push_back(Object(name, revision));
        }
        if (const auto changes = replica.MergeList(list)) {
          apply(changes->objects);
        }
      } else {
        apply(replica
                  .Merge({from, until,
                          std::vector<SourceObject>(log.begin() + from,
                                                    log.begin() + until)})
                  .changes);
      }
      RC_ASSERT(replica.revision() >= before);
      if (replica.synced()) {
        RC_ASSERT(state == states[static_cast<size_t>(replica.revision())]);
      }
    }
  }));
}

namespace {

SourceObject ObjectWith(const std::string& name, const char* content,
                        Position position) {
  return {.name = name,
          .spec = {{"content", content}},
          .revision = position,
          .deleted = false};
}

/** @return a replica with "a" and "b" at revision 30 of era 1. */
KindReplica ReplicaInEraOne() {
  return ReplicaFromList(MakePosition(1, 30),
                         {ObjectWith("a", "x", MakePosition(1, 10)),
                          ObjectWith("b", "y", MakePosition(1, 30))});
}

}  // namespace

// Guards against ignoring the list of a store that was restored from an older
// copy because the list's revision is lower.
TEST_CASE("a list of a later era is merged, and only differences are changes") {
  KindReplica replica = ReplicaInEraOne();
  const auto changes =
      replica.MergeList({.objects = {ObjectWith("a", "x", MakePosition(2, 10)),
                                     ObjectWith("c", "z", MakePosition(2, 12))},
                         .revision = MakePosition(2, 20)});
  REQUIRE(changes);
  REQUIRE(changes->follows == MakePosition(1, 30));
  REQUIRE(changes->revision == MakePosition(2, 20));
  REQUIRE(changes->objects.size() == 2);
  REQUIRE(changes->objects[0].name == "c");
  REQUIRE(changes->objects[1].name == "b");
  REQUIRE(changes->objects[1].deleted);
  // A change at a revision that era 1 has already assigned.
  const auto merged =
      replica.Merge({MakePosition(2, 20),
                     MakePosition(2, 25),
                     {ObjectWith("a", "w", MakePosition(2, 25))}});
  REQUIRE(merged.changes.size() == 1);
}

// Guards against a late answer of the previous era that reverts the state of
// the new one.
TEST_CASE("changes and lists of an earlier era are never applied") {
  KindReplica replica = ReplicaInEraOne();
  replica.MergeList({.objects = {}, .revision = MakePosition(2, 20)});
  REQUIRE_FALSE(
      replica.MergeList({.objects = {}, .revision = MakePosition(1, 90)}));
  const auto merged =
      replica.Merge({MakePosition(1, 30),
                     MakePosition(1, 90),
                     {ObjectWith("a", "w", MakePosition(1, 90))}});
  REQUIRE(merged.outcome == Outcome::kKnown);
  REQUIRE(replica.revision() == MakePosition(2, 20));
}

// Guards against an upstream that stays in use after a change of era. A relay
// computes its changes into the new era from its own state. If its state does
// not contain the upstream, the changes do not contain the deletion.
TEST_CASE("changes into a later era apply only to the state that they follow") {
  KindReplica replica = ReplicaInEraOne();
  const ChangeBatch from_other{MakePosition(1, 28), MakePosition(2, 20), {}};
  REQUIRE(replica.Merge(from_other).outcome == Outcome::kGap);
  const ChangeBatch from_same{MakePosition(1, 30), MakePosition(2, 20), {}};
  REQUIRE(replica.Merge(from_same).outcome == Outcome::kMerged);
}

// Guards against followers that enter an era from a state other than the one
// from which the relay's changes start.
TEST_CASE("a history returns changes into an era only for their start state") {
  ChangeHistory history(8);
  history.ResetTo(MakePosition(1, 10));
  history.Add({MakePosition(1, 10), MakePosition(2, 4), {}});
  REQUIRE(history.Since(MakePosition(1, 10)));
  REQUIRE_FALSE(history.Since(MakePosition(1, 12)));
  history.Add({MakePosition(2, 4),
               MakePosition(2, 6),
               {ObjectWith("a", "x", MakePosition(2, 6))}});
  REQUIRE_FALSE(history.Since(MakePosition(1, 12)));
  REQUIRE(history.Since(MakePosition(1, 10))->objects.size() == 1);
  REQUIRE(history.Since(MakePosition(2, 4))->objects.size() == 1);
}

// Guards against an object that stays in use at a follower: it was created and
// deleted while its relay had no watch, and the relay then listed the store.
TEST_CASE("a list's difference removes objects that its sender never had") {
  KindReplica relay = ReplicaFromList(10, {Object("kept", 4)});
  KindReplica follower = relay;
  follower.Merge({10, 13, {Object("gone", 12), Object("kept", 13)}});
  const auto difference =
      relay.MergeList({.objects = {Object("kept", 13)}, .revision = 20});
  REQUIRE(difference);
  const auto merged = follower.Merge(*difference);
  CHECK(merged.outcome == Outcome::kMerged);
  REQUIRE(merged.changes.size() == 1);
  CHECK(merged.changes[0].name == "gone");
  CHECK(merged.changes[0].deleted);
  CHECK(follower.revision() == 20);
}

// Guards against a deletion that is ignored because the follower has a later
// state of the object than its relay had.
TEST_CASE("a list's difference deletes objects that changed in between") {
  KindReplica relay = ReplicaFromList(10, {Object("a", 4)});
  KindReplica follower = relay;
  follower.Merge({10, 12, {Object("a", 12)}});
  const auto merged =
      follower.Merge(*relay.MergeList({.objects = {}, .revision = 20}));
  REQUIRE(merged.changes.size() == 1);
  CHECK(merged.changes[0].deleted);
}

// Guards against the deletion of an object that two lists contain, of which the
// first one is older than the object, as its later pages were read later.
TEST_CASE("a list's difference keeps objects that an earlier list had ahead") {
  KindReplica relay = ReplicaFromList(10, {Object("a", 12)});
  KindReplica follower = ReplicaFromList(10, {});
  follower.Merge({10, 12, {Object("a", 12)}});
  const auto merged = follower.Merge(
      *relay.MergeList({.objects = {Object("a", 12)}, .revision = 20}));
  CHECK(merged.outcome == Outcome::kMerged);
  CHECK(merged.changes.empty());
}

// Guards against a follower that is brought up to date by the difference of two
// states although it has another one.
TEST_CASE("a history returns a list's difference only for its start state") {
  KindReplica relay = ReplicaFromList(10, {Object("a", 4)});
  ChangeHistory history(100);
  history.ResetTo(10);
  history.Add(*relay.MergeList({.objects = {Object("a", 4)}, .revision = 20}));
  CHECK(history.Since(10));
  CHECK_FALSE(history.Since(12));
  CHECK(history.Since(20));
}
