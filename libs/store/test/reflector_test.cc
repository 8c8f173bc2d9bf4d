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

/** A store whose calls the test answers one by one. */
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

  void Answer(SourceBatch batch) { Take()(std::move(batch)); }
  void Fail(Errc code) {
    Take()(boost::outcome_v2::failure(Error{code, "scripted"}));
  }

  int lists = 0;
  std::vector<int64_t> watched_after;
  std::vector<std::chrono::milliseconds> waits;
  SourceCallback pending;

 private:
  SourceCallback Take() { return std::exchange(pending, nullptr); }
};

void RunLoop(std::chrono::milliseconds time) {
  QEventLoop loop;
  QTimer::singleShot(time, &loop, &QEventLoop::quit);
  loop.exec();
}

struct Seen {
  int lists = 0;
  std::vector<std::string> changes;
  std::vector<std::pair<int64_t, int64_t>> batches;  ///< Follows, revision.
  std::vector<bool> reachable;
};

turmeric::store::ReflectorEvents Into(Seen& seen) {
  return {
      .on_list = [&](auto, auto) { ++seen.lists; },
      .on_changes =
          [&](const ChangeBatch& batch, auto) {
            for (const SourceObject& o : batch.objects) {
              seen.changes.push_back(o.name);
            }
            seen.batches.push_back({batch.follows, batch.revision});
          },
      .on_reachable =
          [&](bool on, const std::string&) { seen.reachable.push_back(on); }};
}

}  // namespace

TEST_CASE("a reflector lists, then watches from the list's revision") {
  ScriptedSource source;
  Seen seen;
  Reflector reflector(source, "kind", Into(seen));
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  REQUIRE(seen.lists == 1);
  REQUIRE(source.watched_after.back() == 7);
  source.Answer(
      {.objects = {{.name = "a", .spec = {}, .revision = 9}}, .revision = 9});
  REQUIRE(seen.changes == std::vector<std::string>{"a"});
  RunLoop(600ms);
  REQUIRE(source.watched_after.back() == 9);
}

TEST_CASE("a reflector lists anew when the history is gone") {
  ScriptedSource source;
  Seen seen;
  Reflector reflector(source, "kind", Into(seen));
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  source.Fail(Errc::kStoreRevisionGone);
  REQUIRE(source.lists == 2);
  source.Answer({.objects = {}, .revision = 30});
  REQUIRE(source.watched_after.back() == 30);
}

// Story: the store falls silent for some seconds. A watch that is sent just
// before it returns is lost with the silence. If that watch were a long one,
// a configuration accepted right after the return would come into force only
// when it is given up, seconds late, and callers of new routes would get 404.
TEST_CASE("while the store does not answer, watches are short") {
  ScriptedSource source;
  Seen seen;
  Reflector reflector(source, "kind", Into(seen));
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  const auto usual = source.waits.back();
  source.Fail(Errc::kStoreUnavailable);
  RunLoop(300ms);
  REQUIRE(source.waits.size() == 2);
  REQUIRE(source.waits.back() <= 200ms);
  REQUIRE(source.waits.back() < usual);
  source.Answer({.objects = {}, .revision = 7});
  REQUIRE(source.waits.back() == usual);
  REQUIRE(seen.reachable == std::vector<bool>{true, false, true});
}

// Story: ninety instances follow some two hundred upstreams that are replaced
// in a series. With a call for each change on each instance, the fleet made
// four times the calls that it is billed for when quiet.
TEST_CASE("changes in a series share a call") {
  ScriptedSource source;
  Seen seen;
  Reflector reflector(source, "kind", Into(seen));
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  source.Answer(
      {.objects = {{.name = "a", .spec = {}, .revision = 8}}, .revision = 8});
  RunLoop(100ms);
  REQUIRE(source.waits.size() == 1);
  RunLoop(600ms);
  REQUIRE(source.waits.size() == 2);
}

// Story: the store falls silent for a moment and swallows an instance's watch,
// which was to wait for 15 s. A configuration is accepted right after. Without
// what others tell, callers of its new routes get 404 here until the watch
// ends.
TEST_CASE("a watch that misses a change which others saw is begun anew") {
  ScriptedSource source;
  Seen seen;
  Reflector reflector(source, "kind", Into(seen));
  reflector.set_watch_wait([] { return 15s; });
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  REQUIRE(source.waits == std::vector<std::chrono::milliseconds>{15s});
  const SourceCallback lost = std::exchange(source.pending, nullptr);
  reflector.NoteChangeElsewhere(7);  // Known here too.
  RunLoop(300ms);
  REQUIRE(source.waits.size() == 1);
  reflector.NoteChangeElsewhere(8);
  RunLoop(300ms);
  REQUIRE(source.waits.size() == 2);
  REQUIRE(source.watched_after.back() == 7);
  source.Answer(
      {.objects = {{.name = "a", .spec = {}, .revision = 8}}, .revision = 8});
  REQUIRE(seen.batches.back() == std::pair<int64_t, int64_t>{7, 8});
  REQUIRE(seen.changes.size() == 1);
  // The lost one is answered after all: told twice, nothing may go back.
  lost(SourceBatch{.objects = {{.name = "a", .spec = {}, .revision = 5}},
                   .revision = 5});
  REQUIRE(seen.changes.size() == 1);
}

// Story: an instance tells of changes that do not exist. The others must not
// call the store without end for it.
TEST_CASE("watches begun anew for others' news are rare") {
  ScriptedSource source;
  Seen seen;
  Reflector reflector(source, "kind", Into(seen));
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  for (int i = 0; i < 12; ++i) {
    reflector.NoteChangeElsewhere(1000);
    RunLoop(100ms);
  }
  REQUIRE(source.waits.size() <= 3);
}

// Story: a long watch was begun while other instances were heard; then nobody
// is heard any more, and nobody would tell that the watch is lost.
TEST_CASE("a long watch ends once it should have been a short one") {
  ScriptedSource source;
  Seen seen;
  Reflector reflector(source, "kind", Into(seen));
  std::chrono::milliseconds wait = 15s;
  reflector.set_watch_wait([&] { return wait; });
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  RunLoop(700ms);
  reflector.CheckWait();
  REQUIRE(source.waits.size() == 1);
  wait = 100ms;
  reflector.CheckWait();
  REQUIRE(source.waits.size() == 2);
}

// Story: the store is away for six seconds, and each of sixty instances asks
// twice in half a second whether it is back, once for each kind that it
// follows: a quarter of the day's calls. One of the two finds out for both.
TEST_CASE("a reflector waits for its lead while the store is away") {
  ScriptedSource lead_source;
  ScriptedSource source;
  Seen seen;
  Reflector lead(lead_source, "upstreams", Into(seen));
  Reflector reflector(source, "config", Into(seen));
  reflector.Follow(lead);
  lead.Start();
  reflector.Start();
  lead_source.Answer({.objects = {}, .revision = 7});
  source.Answer({.objects = {}, .revision = 7});
  lead_source.Fail(Errc::kStoreUnavailable);
  source.Fail(Errc::kStoreUnavailable);
  RunLoop(500ms);
  REQUIRE(source.waits.size() == 1);
  REQUIRE(lead_source.waits.size() == 2);
  lead_source.Answer({.objects = {}, .revision = 8});
  RunLoop(150ms);
  REQUIRE(source.waits.size() == 2);
}

// Story: only the lead's own call is lost, the store answers the other: one
// that reaches the store must not wait for anybody.
TEST_CASE("a reflector that reaches the store does not wait for its lead") {
  ScriptedSource lead_source;
  ScriptedSource source;
  Seen seen;
  Reflector lead(lead_source, "upstreams", Into(seen));
  Reflector reflector(source, "config", Into(seen));
  reflector.Follow(lead);
  lead.Start();
  reflector.Start();
  lead_source.Answer({.objects = {}, .revision = 7});
  source.Answer({.objects = {}, .revision = 7});
  lead_source.Fail(Errc::kStoreUnavailable);
  source.Answer(
      {.objects = {{.name = "a", .spec = {}, .revision = 8}}, .revision = 8});
  RunLoop(600ms);
  REQUIRE(source.waits.size() == 2);
}

// Story: three hundred instances each wait at the store for changes that
// others pass on to them anyway, and each change costs three hundred calls.
TEST_CASE("a resting reflector makes no calls and goes on from what is known") {
  ScriptedSource source;
  Seen seen;
  Reflector reflector(source, "kind", Into(seen));
  reflector.Rest(true);
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  REQUIRE(source.waits.empty());
  reflector.AdvanceTo(12);
  RunLoop(100ms);
  REQUIRE(source.waits.empty());
  reflector.Rest(false);
  REQUIRE(source.watched_after == std::vector<int64_t>{12});
}

TEST_CASE("a watch that is open when a reflector rests is its last") {
  ScriptedSource source;
  Seen seen;
  Reflector reflector(source, "kind", Into(seen));
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  reflector.Rest(true);
  reflector.AdvanceTo(9);
  source.Answer({.objects = {}, .revision = 8});
  RunLoop(100ms);
  REQUIRE(source.waits.size() == 1);
  REQUIRE(seen.batches.back() == std::pair<int64_t, int64_t>{7, 8});
}

// Story: a batch that was passed on did not join on what is known here. One
// call brings what lies between; asked again and again, the store would be
// called by the whole fleet for the same gap.
TEST_CASE("a resting reflector catches up with one call") {
  ScriptedSource source;
  Seen seen;
  Reflector reflector(source, "kind", Into(seen));
  reflector.Rest(true);
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  reflector.CatchUp();
  reflector.CatchUp();
  REQUIRE(source.watched_after == std::vector<int64_t>{7});
  source.Answer({.objects = {}, .revision = 9});
  RunLoop(300ms);
  REQUIRE(source.waits.size() == 1);
  REQUIRE(seen.batches.back() == std::pair<int64_t, int64_t>{7, 9});
}

// Story: those that pass changes on have all lost the store without a word, and
// an instance that serves another fleet tells of a newer change.
TEST_CASE("a resting reflector asks for a change that others have seen") {
  ScriptedSource source;
  Seen seen;
  Reflector reflector(source, "kind", Into(seen));
  reflector.Rest(true);
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  reflector.NoteChangeElsewhere(8);
  RunLoop(500ms);
  REQUIRE(source.waits.empty());
  RunLoop(700ms);
  REQUIRE(source.watched_after == std::vector<int64_t>{7});
}

// Guards against a loop of calls to a store whose every answer is that it has
// no history.
TEST_CASE("a history that is gone again and again is asked for more seldom") {
  ScriptedSource source;
  Seen seen;
  Reflector reflector(source, "kind", Into(seen));
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

// Guards against a loop of watches that end at once and tell nothing.
TEST_CASE("watches that end at once for nothing are begun more seldom") {
  ScriptedSource source;
  Seen seen;
  Reflector reflector(source, "kind", Into(seen));
  reflector.Start();
  source.Answer({.objects = {}, .revision = 7});
  const auto end = std::chrono::steady_clock::now() + 2s;
  while (std::chrono::steady_clock::now() < end) {
    if (source.pending) source.Answer({.objects = {}, .revision = 7});
    RunLoop(2ms);
  }
  REQUIRE(source.watched_after.size() <= 8);
}
