#include "turmeric/store/reflector.h"

#include <QEventLoop>
#include <QTimer>
#include <catch2/catch.hpp>
#include <utility>
#include <vector>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::store::ChangeBatch;
using turmeric::store::ObjectSource;
using turmeric::store::Reflector;
using turmeric::store::SourceBatch;
using turmeric::store::SourceCallback;
using turmeric::store::SourceObject;
using turmeric::utils::Errc;
using turmeric::utils::Error;

namespace {

/** A store whose calls are answered by the test, one at a time. */
class ScriptedSource : public ObjectSource {
 public:
  void List(const std::string&, Freshness, SourceCallback done) override {
    ++lists;
    pending = std::move(done);
  }
  void Watch(const std::string&, int64_t after, std::chrono::milliseconds wait,
             SourceCallback done) override {
    watched_after.push_back(after);
    waits.push_back(wait);
    pending = std::move(done);
  }
  void Put(const std::string&, const std::string&, const QJsonObject&,
           SourceCallback) override {}

  void Answer(SourceBatch batch) { TakePending()(std::move(batch)); }
  void Fail(Errc code) {
    TakePending()(boost::outcome_v2::failure(Error{code, "scripted"}));
  }

  int lists = 0;
  std::vector<int64_t> watched_after;
  std::vector<std::chrono::milliseconds> waits;
  SourceCallback pending;

 private:
  SourceCallback TakePending() { return std::exchange(pending, nullptr); }
};

void RunLoop(std::chrono::milliseconds duration) {
  QEventLoop loop;
  QTimer::singleShot(duration, &loop, &QEventLoop::quit);
  loop.exec();
}

struct Received {
  int lists = 0;
  std::vector<std::string> changes;
  /** `follows` and `revision` of each batch. */
  std::vector<std::pair<int64_t, int64_t>> batches;
  std::vector<bool> reachable;
};

turmeric::store::ReflectorEvents RecordInto(Received& received) {
  return {.on_list = [&](auto, auto) { ++received.lists; },
          .on_changes =
              [&](const ChangeBatch& batch, auto) {
                for (const SourceObject& o : batch.objects) {
                  received.changes.push_back(o.name);
                }
                received.batches.push_back({batch.follows, batch.revision});
              },
          .on_reachable =
              [&](bool on, const std::string&) {
                received.reachable.push_back(on);
              }};
}

}  // namespace

TEST_CASE("a reflector lists, then watches from the list's revision") {
  ScriptedSource source;
  Received received;
  Reflector reflector(source, "kind", RecordInto(received));
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  REQUIRE(received.lists == 1);
  REQUIRE(source.watched_after.back() == 7);
  source.Answer(
      {.objects = {{.name = "a", .spec = {}, .revision = 9}}, .revision = 9});
  REQUIRE(received.changes == std::vector<std::string>{"a"});
  RunLoop(600ms);
  REQUIRE(source.watched_after.back() == 9);
}

TEST_CASE("a reflector lists again when the history is gone") {
  ScriptedSource source;
  Received received;
  Reflector reflector(source, "kind", RecordInto(received));
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  source.Fail(Errc::kStoreRevisionGone);
  REQUIRE(source.lists == 2);
  source.Answer({.objects = {}, .revision = 30});
  REQUIRE(source.watched_after.back() == 30);
}

// Guards against callers of new routes receiving 404. The store is unreachable
// for some seconds, and a watch sent just before it recovers is lost. If that
// were a long watch, a configuration accepted right after the recovery would
// come into force only when the watch times out, seconds late.
TEST_CASE("watches are short while the store is unreachable") {
  ScriptedSource source;
  Received received;
  Reflector reflector(source, "kind", RecordInto(received));
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  const auto normal_wait = source.waits.back();
  source.Fail(Errc::kStoreUnavailable);
  RunLoop(300ms);
  REQUIRE(source.waits.size() == 2);
  REQUIRE(source.waits.back() <= 200ms);
  REQUIRE(source.waits.back() < normal_wait);
  source.Answer({.objects = {}, .revision = 7});
  REQUIRE(source.waits.back() == normal_wait);
  REQUIRE(received.reachable == std::vector<bool>{true, false, true});
}

// Guards against a high bill for store calls. 90 instances follow about 200
// upstreams that are replaced one after the other. With one call per change and
// instance, the fleet would make four times as many calls as when idle.
TEST_CASE("a series of changes is received with one call") {
  ScriptedSource source;
  Received received;
  Reflector reflector(source, "kind", RecordInto(received));
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  source.Answer(
      {.objects = {{.name = "a", .spec = {}, .revision = 8}}, .revision = 8});
  RunLoop(100ms);
  REQUIRE(source.waits.size() == 1);
  RunLoop(600ms);
  REQUIRE(source.waits.size() == 2);
}

// Guards against callers of new routes receiving 404. The store is unreachable
// for a moment and loses an instance's watch, whose wait is 15 s. A
// configuration is accepted right after. Without the changes reported by peers,
// the instance would not receive it until the watch ends.
TEST_CASE("a watch that misses a change received by peers is replaced") {
  ScriptedSource source;
  Received received;
  Reflector reflector(source, "kind", RecordInto(received));
  reflector.set_watch_wait([] { return 15s; });
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  REQUIRE(source.waits == std::vector<std::chrono::milliseconds>{15s});
  const SourceCallback lost_watch = std::exchange(source.pending, nullptr);
  reflector.OnPeerChange(7);  // Already received here.
  RunLoop(300ms);
  REQUIRE(source.waits.size() == 1);
  reflector.OnPeerChange(8);
  RunLoop(300ms);
  REQUIRE(source.waits.size() == 2);
  REQUIRE(source.watched_after.back() == 7);
  source.Answer(
      {.objects = {{.name = "a", .spec = {}, .revision = 8}}, .revision = 8});
  REQUIRE(received.batches.back() == std::pair<int64_t, int64_t>{7, 8});
  REQUIRE(received.changes.size() == 1);
  // A late answer to the replaced watch must not revert anything.
  lost_watch(SourceBatch{.objects = {{.name = "a", .spec = {}, .revision = 5}},
                         .revision = 5});
  REQUIRE(received.changes.size() == 1);
}

// Guards against calls to the store in a loop when an instance reports changes
// that do not exist.
TEST_CASE("replacing watches for changes of peers is rate-limited") {
  ScriptedSource source;
  Received received;
  Reflector reflector(source, "kind", RecordInto(received));
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  for (int i = 0; i < 12; ++i) {
    reflector.OnPeerChange(1000);
    RunLoop(100ms);
  }
  REQUIRE(source.waits.size() <= 3);
}

// Guards against a lost long watch that goes unnoticed. The watch was started
// while messages of peers were received; when they no longer are, no peer would
// report a change that the watch misses.
TEST_CASE("a long watch is replaced once only short watches are allowed") {
  ScriptedSource source;
  Received received;
  Reflector reflector(source, "kind", RecordInto(received));
  std::chrono::milliseconds wait = 15s;
  reflector.set_watch_wait([&] { return wait; });
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  RunLoop(700ms);
  reflector.CheckDue();
  REQUIRE(source.waits.size() == 1);
  wait = 100ms;
  reflector.CheckDue();
  REQUIRE(source.waits.size() == 2);
}

// Guards against a high bill for store calls. During a store outage of 6 s,
// each of 60 instances would probe the store twice every half second, once per
// kind that it follows: a quarter of the calls of a day. One reflector probes
// the store for both.
TEST_CASE("a reflector waits for its probe leader during an outage") {
  ScriptedSource leader_source;
  ScriptedSource source;
  Received received;
  Reflector leader(leader_source, "upstreams", RecordInto(received));
  Reflector reflector(source, "config", RecordInto(received));
  reflector.set_probe_leader(leader);
  leader.Start();
  reflector.Start();
  leader_source.Answer({.objects = {}, .revision = 7});
  source.Answer({.objects = {}, .revision = 7});
  leader_source.Fail(Errc::kStoreUnavailable);
  source.Fail(Errc::kStoreUnavailable);
  RunLoop(500ms);
  REQUIRE(source.waits.size() == 1);
  REQUIRE(leader_source.waits.size() == 2);
  leader_source.Answer({.objects = {}, .revision = 8});
  RunLoop(150ms);
  REQUIRE(source.waits.size() == 2);
}

// Guards against missed changes when only the probe leader's call is lost. A
// reflector whose own calls are answered must not wait for its leader.
TEST_CASE("a reflector that reaches the store does not wait for its leader") {
  ScriptedSource leader_source;
  ScriptedSource source;
  Received received;
  Reflector leader(leader_source, "upstreams", RecordInto(received));
  Reflector reflector(source, "config", RecordInto(received));
  reflector.set_probe_leader(leader);
  leader.Start();
  reflector.Start();
  leader_source.Answer({.objects = {}, .revision = 7});
  source.Answer({.objects = {}, .revision = 7});
  leader_source.Fail(Errc::kStoreUnavailable);
  source.Answer(
      {.objects = {{.name = "a", .spec = {}, .revision = 8}}, .revision = 8});
  RunLoop(600ms);
  REQUIRE(source.waits.size() == 2);
}

// Guards against a high bill for store calls. If 300 instances watched the
// store for changes that are relayed to them anyway, each change would cost 300
// calls.
TEST_CASE("a passive reflector makes no calls and resumes where it advanced") {
  ScriptedSource source;
  Received received;
  Reflector reflector(source, "kind", RecordInto(received));
  reflector.SetPassive(true);
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  REQUIRE(source.waits.empty());
  reflector.AdvanceTo(12);
  RunLoop(100ms);
  REQUIRE(source.waits.empty());
  reflector.SetPassive(false);
  REQUIRE(source.watched_after == std::vector<int64_t>{12});
}

TEST_CASE("a reflector that becomes passive starts no further watch") {
  ScriptedSource source;
  Received received;
  Reflector reflector(source, "kind", RecordInto(received));
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  reflector.SetPassive(true);
  reflector.AdvanceTo(9);
  source.Answer({.objects = {}, .revision = 8});
  RunLoop(100ms);
  REQUIRE(source.waits.size() == 1);
  REQUIRE(received.batches.back() == std::pair<int64_t, int64_t>{7, 8});
}

// Guards against repeated calls of the whole fleet for the same gap. A relayed
// batch leaves a gap after this instance's revision; one call must fetch the
// missing changes.
TEST_CASE("a passive reflector catches up with one call") {
  ScriptedSource source;
  Received received;
  Reflector reflector(source, "kind", RecordInto(received));
  reflector.SetPassive(true);
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  reflector.CatchUp(9);
  reflector.CatchUp(9);
  REQUIRE(source.watched_after == std::vector<int64_t>{7});
  source.Answer({.objects = {}, .revision = 9});
  RunLoop(300ms);
  REQUIRE(source.waits.size() == 1);
  REQUIRE(received.batches.back() == std::pair<int64_t, int64_t>{7, 9});
}

// Guards against a configuration that is never read. An outage ends after the
// changes are relayed again; a configuration too large to be relayed follows.
TEST_CASE("a catch-up does not wait for a passive probe leader") {
  ScriptedSource leader_source;
  ScriptedSource source;
  Received received;
  Reflector leader(leader_source, "upstreams", RecordInto(received));
  Reflector reflector(source, "config", RecordInto(received));
  reflector.set_probe_leader(leader);
  leader.Start();
  reflector.Start();
  leader_source.Answer({.objects = {}, .revision = 7});
  source.Answer({.objects = {}, .revision = 7});
  leader_source.Fail(Errc::kStoreUnavailable);
  source.Fail(Errc::kStoreUnavailable);
  leader.SetPassive(true);
  reflector.SetPassive(true);
  RunLoop(1500ms);
  const auto watches = source.waits.size();
  reflector.CatchUp(9);
  RunLoop(200ms);
  REQUIRE(source.waits.size() == watches + 1);
}

// Guards against a lost change: it was made after the store had answered the
// call in flight, and relays report it once.
TEST_CASE("a change reported during a call is read by a further call") {
  ScriptedSource source;
  Received received;
  Reflector reflector(source, "kind", RecordInto(received));
  reflector.SetPassive(true);
  reflector.Start();
  reflector.CatchUp(9);
  source.Answer({.objects = {}, .revision = 7});
  RunLoop(300ms);
  REQUIRE(source.watched_after == std::vector<int64_t>{7});
  reflector.CatchUp(12);
  source.Answer({.objects = {}, .revision = 9});
  RunLoop(1300ms);
  REQUIRE(source.watched_after == std::vector<int64_t>{7, 9});
}

// Guards against missed changes when all relays have lost the store without
// noticing it, and an instance that serves another fleet reports a newer
// change.
TEST_CASE("a passive reflector requests a change that peers have received") {
  ScriptedSource source;
  Received received;
  Reflector reflector(source, "kind", RecordInto(received));
  reflector.SetPassive(true);
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  reflector.OnPeerChange(8);
  RunLoop(500ms);
  REQUIRE(source.waits.empty());
  RunLoop(700ms);
  REQUIRE(source.watched_after == std::vector<int64_t>{7});
}

// Guards against a loop of calls to a store that answers every call with
// kStoreRevisionGone.
TEST_CASE("calls become rarer while the history is repeatedly gone") {
  ScriptedSource source;
  Received received;
  Reflector reflector(source, "kind", RecordInto(received));
  reflector.Start();
  const auto answer_all = [&](std::chrono::milliseconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
      if (source.pending) source.Fail(Errc::kStoreRevisionGone);
      RunLoop(2ms);
    }
  };
  answer_all(1000ms);
  const int first = source.lists;
  REQUIRE(first <= 6);
  answer_all(1000ms);
  REQUIRE(source.lists - first <= 2);
}

// Guards against a loop of watches that end at once without changes.
TEST_CASE("watches become rarer while they end at once without changes") {
  ScriptedSource source;
  Received received;
  Reflector reflector(source, "kind", RecordInto(received));
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  const auto end = std::chrono::steady_clock::now() + 2s;
  while (std::chrono::steady_clock::now() < end) {
    if (source.pending) source.Answer({.objects = {}, .revision = 7});
    RunLoop(2ms);
  }
  REQUIRE(source.watched_after.size() <= 8);
}
