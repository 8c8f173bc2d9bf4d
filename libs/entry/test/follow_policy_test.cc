#include "turmeric/entry/follow_policy.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::entry::FollowPolicy;
using Fault = FollowPolicy::Fault;

namespace {

using Clock = FollowPolicy::Clock;
const Clock::time_point kStart = Clock::time_point(100s);

/** An instance that has listed the store at its start and knows the fleet. */
struct Follower {
  Follower() { situation.store_heard = kStart; }

  FollowPolicy::Decision Decide(std::chrono::milliseconds since_start) {
    return policy.Decide(situation, kStart + since_start);
  }
  void Hear(const std::string& name, std::chrono::milliseconds since_start,
            std::chrono::milliseconds store_age = 500ms, bool behind = false) {
    policy.OnHeard(name, store_age, behind, kStart + since_start);
  }
  /** Both relays answer every second from one time to another. */
  void HearBoth(std::chrono::milliseconds from, std::chrono::milliseconds to) {
    for (auto at = from; at <= to; at += 1s) {
      Hear("a", at);
      Hear("b", at);
      (void)Decide(at);
    }
  }

  FollowPolicy policy;
  FollowPolicy::Situation situation{
      .preferred = std::vector<std::string>{"a", "b", "c", "d"},
      .is_relay = false,
      .store_heard = {}};
};

}  // namespace

TEST_CASE("two relays are asked, and the store is not watched") {
  Follower follower;
  const auto first = follower.Decide(0ms);
  REQUIRE(first.ask == std::vector<std::string>{"a", "b"});
  REQUIRE_FALSE(first.watch);
  follower.HearBoth(100ms, 5100ms);
  const auto later = follower.Decide(5200ms);
  REQUIRE_FALSE(later.watch);
  REQUIRE(later.ask.empty());
  REQUIRE(later.drop.empty());
}

TEST_CASE("without the fleet's list the store is watched after a while") {
  Follower follower;
  follower.situation.preferred.reset();
  REQUIRE_FALSE(follower.Decide(0ms).watch);
  REQUIRE(follower.Decide(2100ms).watch);
}

TEST_CASE("who is alone watches the store once it has looked for others") {
  Follower follower;
  follower.situation.preferred = std::vector<std::string>{};
  REQUIRE_FALSE(follower.Decide(0ms).watch);
  REQUIRE(follower.Decide(2100ms).watch);
}

TEST_CASE("a relay watches the store, whom it hears itself") {
  Follower follower;
  follower.situation.is_relay = true;
  (void)follower.Decide(0ms);
  follower.HearBoth(100ms, 3100ms);
  const auto decision = follower.Decide(3200ms);
  REQUIRE(decision.watch);
  REQUIRE_FALSE(decision.patient);
}

// Story: one of an instance's two relays freezes for six seconds. Its
// connection stays open. The other one's news hold meanwhile, and a third
// takes the place of the first.
TEST_CASE("a silent relay is replaced, the store is not asked") {
  Follower follower;
  (void)follower.Decide(0ms);
  follower.HearBoth(100ms, 3100ms);
  for (auto at = 4100ms; at < 6000ms; at += 250ms) {
    follower.Hear("b", at);
    const auto decision = follower.Decide(at);
    REQUIRE_FALSE(decision.watch);
    if (decision.drop.empty()) continue;
    REQUIRE(decision.drop[0].name == "a");
    REQUIRE(decision.drop[0].why == Fault::kSilent);
    REQUIRE(decision.ask == std::vector<std::string>{"c"});
    return;
  }
  FAIL("the silent relay was kept");
}

// Story: both relays of an instance lose power at the same moment, and a
// configuration is accepted. The instance must have it within its bound, so it
// asks the store by itself until others have answered.
TEST_CASE("without any relay the store is watched within the bound") {
  Follower follower;
  (void)follower.Decide(0ms);
  follower.HearBoth(100ms, 3100ms);
  bool watched = false;
  for (auto at = 3200ms; at <= 5400ms; at += 200ms) {
    watched = watched || follower.Decide(at).watch;
  }
  REQUIRE(watched);
}

TEST_CASE("a lost connection counts at once") {
  Follower follower;
  (void)follower.Decide(0ms);
  follower.HearBoth(100ms, 3100ms);
  follower.policy.OnLost("a", kStart + 3200ms);
  follower.policy.OnLost("b", kStart + 3200ms);
  const auto decision = follower.Decide(3200ms);
  REQUIRE(decision.ask == std::vector<std::string>{"c", "d"});
  REQUIRE(decision.watch);
  follower.Hear("c", 3400ms);
  REQUIRE_FALSE(follower.Decide(3500ms).watch);
}

// Story: a relay was frozen and woke up, or its watch was lost without a word.
// It answers in time and says that the store was heard just now, but what it
// knows is older than what the other relay has told.
TEST_CASE("a relay that stays behind is passed by, whatever age it tells") {
  Follower follower;
  (void)follower.Decide(0ms);
  follower.HearBoth(100ms, 3100ms);
  for (auto at = 3500ms; at < 6000ms; at += 500ms) {
    follower.Hear("a", at, 0ms, true);
    follower.Hear("b", at);
    const auto decision = follower.Decide(at);
    if (decision.drop.empty()) continue;
    REQUIRE(decision.drop[0].name == "a");
    REQUIRE(decision.drop[0].why == Fault::kBehind);
    REQUIRE(at <= 5500ms);
    REQUIRE_FALSE(decision.watch);
    return;
  }
  FAIL("the relay was kept");
}

// Story: the store is away for everybody. Three hundred instances asking twice
// a second whether it is back would be billed more than a quiet day.
TEST_CASE("while relays say that the store is away, it is asked seldom") {
  Follower follower;
  (void)follower.Decide(0ms);
  for (auto at = 100ms; at <= 9000ms; at += 500ms) {
    follower.Hear("a", at, at);
    follower.Hear("b", at, at);
    const auto decision = follower.Decide(at);
    if (at < 7000ms) REQUIRE_FALSE(decision.watch);
    if (at > 8600ms) {
      REQUIRE(decision.watch);
      REQUIRE(decision.patient);
    }
  }
}

// Guards against relays whose connections to the store have all gone silent,
// relied on for longer than a change may take.
TEST_CASE("followers ask the store when a relay's watch is overdue") {
  Follower follower;
  follower.situation.watch_wait = 3s;
  follower.HearBoth(100ms, 4100ms);
  follower.Hear("a", 5100ms, 4900ms);
  follower.Hear("b", 5100ms, 4800ms);
  REQUIRE_FALSE(follower.Decide(5200ms).watch);
  follower.Hear("a", 6100ms, 5900ms);
  follower.Hear("b", 6100ms, 5800ms);
  REQUIRE(follower.Decide(6200ms).watch);
}

// Story: an entry of an instance that is gone stays in the list, and it would
// be the preferred relay. Asked again and again, each time two seconds pass.
TEST_CASE("a relay that never answers is asked more and more seldom") {
  Follower follower;
  int asked = 0;
  for (auto at = 0ms; at < 60000ms; at += 250ms) {
    const auto decision = follower.Decide(at);
    asked += static_cast<int>(std::ranges::count(decision.ask, "a"));
    follower.Hear("b", at);
    follower.Hear("c", at);
  }
  REQUIRE(asked <= 6);
  REQUIRE(asked >= 3);
}

// Story: the preferred relay has restarted. Its follower goes back to it, but
// keeps the one that took its place until the first answers.
TEST_CASE("a substitute is given up once the preferred relay answers") {
  Follower follower;
  (void)follower.Decide(0ms);
  follower.HearBoth(100ms, 1100ms);
  follower.policy.OnLost("a", kStart + 1200ms);
  REQUIRE(follower.Decide(1200ms).ask == std::vector<std::string>{"c"});
  follower.Hear("b", 2200ms);
  follower.Hear("c", 2200ms);
  follower.Hear("b", 4200ms);
  follower.Hear("c", 4200ms);
  const auto back = follower.Decide(4300ms);
  REQUIRE(back.ask == std::vector<std::string>{"a"});
  REQUIRE(back.drop.empty());
  follower.Hear("a", 4400ms);
  const auto after = follower.Decide(4500ms);
  REQUIRE(after.drop.size() == 1);
  REQUIRE(after.drop[0].name == "c");
  REQUIRE(after.drop[0].why == Fault::kBetterKnown);
}
