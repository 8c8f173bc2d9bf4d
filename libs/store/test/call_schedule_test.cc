#include "turmeric/store/call_schedule.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <vector>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using turmeric::store::CallSchedule;
using turmeric::utils::Errc;

namespace {

using Clock = CallSchedule::Clock;

constexpr milliseconds kStep{10};
constexpr milliseconds kAnswerTime{20};
constexpr milliseconds kListTimeout{1500};
constexpr milliseconds kWatchGrace{800};

/** A schedule whose calls are answered by a modelled store. */
struct Feed {
  CallSchedule schedule;
  std::optional<CallSchedule::Call> call;
  Clock::time_point started_at;
  bool is_lost = false;  ///< The call in flight is never answered.
  int64_t revision = 0;  ///< Revision up to which changes were received.
};

/** A store and an instance with two feeds, the first of which is the probe
 * leader of the second. */
class Simulation {
 public:
  explicit Simulation(uint32_t seed) : random_(seed) {
    for (Feed& feed : feeds) feed.schedule.Start();
  }

  int RandomBelow(int below) {
    return static_cast<int>(random_() % static_cast<uint32_t>(below));
  }
  void Step() {
    now += kStep;
    for (Feed& feed : feeds) {
      if (feed.call) Advance(feed);
      const bool leader_probes =
          &feed == &feeds[1] && feeds[0].schedule.probes();
      const auto call =
          feed.schedule.TakeCall({.leader_probes = leader_probes}, now);
      if (!call) continue;
      ++calls;
      feed.call = *call;
      feed.started_at = now;
      feed.is_lost = false;
    }
  }

  Clock::time_point now = Clock::time_point(100s);
  int64_t head = 1;            ///< The store's revision.
  int64_t history_begins = 0;  ///< Watches from earlier revisions fail.
  bool is_reachable = true;
  bool refuses = false;  ///< While unreachable: calls fail at once.
  int calls = 0;
  std::vector<Feed> feeds = std::vector<Feed>(2);

 private:
  void Fail(Feed& feed, Errc code) {
    const CallSchedule::Call call = *feed.call;
    feed.call.reset();
    feed.schedule.OnFailed(call, code, 0.6 + 0.01 * RandomBelow(61), now);
  }
  void Advance(Feed& feed) {
    const CallSchedule::Call call = *feed.call;
    const auto open_for = now - feed.started_at;
    if (!is_reachable && refuses) return Fail(feed, Errc::kStoreUnavailable);
    if (!is_reachable) feed.is_lost = true;
    const auto timeout = call.is_list ? kListTimeout : call.wait + kWatchGrace;
    if (feed.is_lost && open_for < timeout) return;
    if (feed.is_lost) return Fail(feed, Errc::kStoreUnavailable);
    if (open_for < kAnswerTime) return;
    if (!call.is_list && call.after < history_begins) {
      return Fail(feed, Errc::kStoreRevisionGone);
    }
    const bool has_changes = head > call.after;
    if (!call.is_list && !has_changes && open_for < call.wait) return;
    feed.call.reset();
    feed.revision = std::max(feed.revision, head);
    if (call.is_list) {
      feed.schedule.OnListed(call, head, now);
    } else {
      feed.schedule.OnWatched(call, head, has_changes, now);
    }
  }

  std::mt19937 random_;
};

/** A change and when the feeds were told of it. */
struct Report {
  int64_t revision = 0;
  Clock::time_point at;
};

/** Time from the return of the store to the end of a call that was lost
 * before, with the retry that follows, and the answer. */
constexpr milliseconds kReturnTime =
    kListTimeout + CallSchedule::kMaxRetryDelay + kAnswerTime + kStep;

void Disturb(Simulation& sim, Clock::time_point& reaches_since) {
  if (sim.RandomBelow(150) == 0) {
    sim.is_reachable = !sim.is_reachable;
    sim.refuses = sim.RandomBelow(2) == 0;
    reaches_since = sim.now;
  }
  if (sim.RandomBelow(300) == 0) {
    sim.history_begins = sim.head;
    reaches_since = sim.now;
  }
  for (Feed& feed : sim.feeds) {
    if (sim.RandomBelow(40) == 0) {
      feed.schedule.SetPassive(sim.RandomBelow(2) == 0, sim.now);
    }
    if (sim.RandomBelow(40) == 0) {
      feed.schedule.set_slow_retry(sim.RandomBelow(2) == 0);
    }
  }
}

}  // namespace

// Guards against an instance that is told of a change and does not read it,
// because its reflector is passive, retries slowly or waits for its leader.
TEST_CASE("a reported change is read within its bound") {
  REQUIRE(rc::check([] {
    Simulation sim(*rc::gen::arbitrary<uint32_t>());
    std::vector<Report> reports;
    auto reaches_since = sim.now;
    for (int step = 0; step < 3000; ++step) {
      Disturb(sim, reaches_since);
      if (sim.RandomBelow(60) == 0) {
        ++sim.head;
        const bool is_gap = sim.RandomBelow(2) == 0;
        for (Feed& feed : sim.feeds) {
          is_gap ? feed.schedule.RequireUpTo(sim.head, sim.now)
                 : feed.schedule.OnPeerChange(sim.head, sim.now);
        }
        reports.push_back({sim.head, sim.now});
      }
      sim.Step();
      const auto due = sim.now - CallSchedule::kMaxReadDelay - kReturnTime;
      if (!sim.is_reachable || reaches_since > due) continue;
      for (const Report& report : reports) {
        if (report.at > due) break;
        RC_ASSERT(sim.feeds[0].revision >= report.revision);
        RC_ASSERT(sim.feeds[1].revision >= report.revision);
      }
    }
  }));
}

// Guards against an instance that is behind for seconds after the store has
// lost its history several times, each time followed by a good list.
TEST_CASE("lost histories delay a list by less than a second") {
  Simulation sim(1);
  for (int loss = 0; loss < 10; ++loss) {
    for (int step = 0; step < 100; ++step) sim.Step();
    sim.history_begins = ++sim.head;
  }
  for (int step = 0; step < 100; ++step) sim.Step();
  REQUIRE(sim.feeds[0].revision == sim.head);
}

// Guards against a kind that is not read for as long as its probe leader fails,
// because the answers to the leader's kind alone are unreadable.
TEST_CASE("a schedule stops waiting for a leader that is never answered") {
  auto now = Clock::time_point(100s);
  CallSchedule schedule;
  schedule.Start();
  schedule.OnListed(*schedule.TakeCall({}, now), 1, now);
  schedule.OnFailed(*schedule.TakeCall({}, now), Errc::kStoreUnavailable, 1.0,
                    now);
  const auto end = now + 3s;
  auto call = std::optional<CallSchedule::Call>();
  while (!call && now < end) {
    now += kStep;
    call = schedule.TakeCall({.leader_probes = true}, now);
  }
  REQUIRE(call);
}

// Guards against calls to the store in a loop when an instance reports changes
// that do not exist.
TEST_CASE("wrong reports of changes cause at most a call a second") {
  Simulation sim(1);
  for (Feed& feed : sim.feeds) feed.schedule.SetPassive(true, sim.now);
  for (int step = 0; step < 100; ++step) sim.Step();
  const int before = sim.calls;
  for (int step = 0; step < 1000; ++step) {
    sim.feeds[0].schedule.RequireUpTo(1000, sim.now);
    sim.Step();
  }
  REQUIRE(sim.calls - before <= 10);
}

// Guards against a first watch after a passive phase that is open for seconds,
// during which followers do not know whether this instance reaches the store.
TEST_CASE("the first watch after a long passive phase is short") {
  Simulation sim(1);
  for (Feed& feed : sim.feeds) feed.schedule.SetPassive(true, sim.now);
  for (int step = 0; step < 1000; ++step) sim.Step();
  CallSchedule& schedule = sim.feeds[0].schedule;
  schedule.SetPassive(false, sim.now);
  const auto call = schedule.TakeCall({.watch_wait = 5s}, sim.now);
  REQUIRE(call);
  REQUIRE(call->wait <= 200ms);
}

// Guards against lapsed entries that are removed at once, because an outage
// looks as short as the time since this instance began to watch.
TEST_CASE("an outage begins with the last answer on any path") {
  auto now = Clock::time_point(100s);
  CallSchedule schedule;
  schedule.Start();
  schedule.SetPassive(true, now);
  schedule.OnListed(*schedule.TakeCall({}, now), 1, now);
  now += 60s;
  schedule.SetPassive(false, now - 5s);
  schedule.OnFailed(*schedule.TakeCall({}, now), Errc::kStoreUnavailable, 1.0,
                    now);
  now += 500ms;
  const auto call = schedule.TakeCall({}, now);
  REQUIRE(call);
  CHECK(schedule.OnWatched(*call, 1, false, now).outage == 5500ms);
}
