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

/** An instance that listed the store at its start and knows the fleet. */
struct Follower {
  Follower() { situation.store_answered_at = kStart; }

  FollowPolicy::Decision Decide(std::chrono::milliseconds since_start) {
    return policy.Decide(situation, kStart + since_start);
  }
  void ReceiveStatus(const std::string& name,
                     std::chrono::milliseconds since_start,
                     std::chrono::milliseconds store_age = 500ms,
                     bool behind = false) {
    policy.OnStatus(name, store_age, behind, kStart + since_start);
  }
  /** Receives a status of both relays every second within a period. */
  void ReceiveFromBoth(std::chrono::milliseconds from,
                       std::chrono::milliseconds to) {
    for (auto at = from; at <= to; at += 1s) {
      ReceiveStatus("a", at);
      ReceiveStatus("b", at);
      (void)Decide(at);
    }
  }

  FollowPolicy policy;
  FollowPolicy::Situation situation{
      .preferred = std::vector<std::string>{"a", "b", "c", "d"},
      .is_relay = false,
      .store_answered_at = {}};
};

}  // namespace

TEST_CASE("two relays are followed, and the store is not watched") {
  Follower follower;
  const auto first = follower.Decide(0ms);
  REQUIRE(first.to_follow == std::vector<std::string>{"a", "b"});
  REQUIRE_FALSE(first.watch);
  follower.ReceiveFromBoth(100ms, 5100ms);
  const auto later = follower.Decide(5200ms);
  REQUIRE_FALSE(later.watch);
  REQUIRE(later.to_follow.empty());
  REQUIRE(later.to_drop.empty());
}

TEST_CASE("without the fleet's list the store is watched after the search") {
  Follower follower;
  follower.situation.preferred.reset();
  REQUIRE_FALSE(follower.Decide(0ms).watch);
  REQUIRE(follower.Decide(2100ms).watch);
}

TEST_CASE("a single instance watches the store after the relay search") {
  Follower follower;
  follower.situation.preferred = std::vector<std::string>{};
  REQUIRE_FALSE(follower.Decide(0ms).watch);
  REQUIRE(follower.Decide(2100ms).watch);
}

TEST_CASE("a relay watches the store") {
  Follower follower;
  follower.situation.is_relay = true;
  (void)follower.Decide(0ms);
  follower.ReceiveFromBoth(100ms, 3100ms);
  const auto decision = follower.Decide(3200ms);
  REQUIRE(decision.watch);
  REQUIRE_FALSE(decision.slow_retry);
}

// Guards against a gap when one of the two relays freezes for six seconds with
// its connection open: the other relay still delivers changes, and a third one
// replaces the frozen one.
TEST_CASE("a relay without status is replaced, the store is not watched") {
  Follower follower;
  (void)follower.Decide(0ms);
  follower.ReceiveFromBoth(100ms, 3100ms);
  for (auto at = 4100ms; at < 6000ms; at += 250ms) {
    follower.ReceiveStatus("b", at);
    const auto decision = follower.Decide(at);
    REQUIRE_FALSE(decision.watch);
    if (decision.to_drop.empty()) continue;
    REQUIRE(decision.to_drop[0].name == "a");
    REQUIRE(decision.to_drop[0].why == Fault::kSilent);
    REQUIRE(decision.to_follow == std::vector<std::string>{"c"});
    return;
  }
  FAIL("the relay without status was kept");
}

// Guards against a late configuration when both relays lose power at once: the
// instance watches the store itself until other relays have answered.
TEST_CASE("without any relay the store is watched within the bound") {
  Follower follower;
  (void)follower.Decide(0ms);
  follower.ReceiveFromBoth(100ms, 3100ms);
  bool watched = false;
  for (auto at = 3200ms; at <= 5400ms; at += 200ms) {
    watched = watched || follower.Decide(at).watch;
  }
  REQUIRE(watched);
}

TEST_CASE("a disconnected relay is replaced at once") {
  Follower follower;
  (void)follower.Decide(0ms);
  follower.ReceiveFromBoth(100ms, 3100ms);
  follower.policy.OnDisconnected("a", kStart + 3200ms);
  follower.policy.OnDisconnected("b", kStart + 3200ms);
  const auto decision = follower.Decide(3200ms);
  REQUIRE(decision.to_follow == std::vector<std::string>{"c", "d"});
  REQUIRE(decision.watch);
  follower.ReceiveStatus("c", 3400ms);
  REQUIRE_FALSE(follower.Decide(3500ms).watch);
}

// Guards against a restarted instance that stays without any path to the store
// when its only relay is killed during the search for relays.
TEST_CASE("an instance that loses its relay after its start watches at once") {
  Follower follower;
  follower.situation.preferred = std::vector<std::string>{"a"};
  (void)follower.Decide(0ms);
  follower.ReceiveStatus("a", 100ms);
  REQUIRE_FALSE(follower.Decide(250ms).watch);
  follower.policy.OnDisconnected("a", kStart + 600ms);
  REQUIRE(follower.Decide(600ms).watch);
}

// Guards against two restarted relays that follow each other while neither
// watches the store.
TEST_CASE("a relay that lost its source after its start keeps watching") {
  Follower follower;
  follower.situation.preferred = std::vector<std::string>{"a"};
  follower.situation.is_relay = true;
  (void)follower.Decide(0ms);
  follower.ReceiveStatus("a", 100ms);
  follower.policy.OnDisconnected("a", kStart + 300ms);
  REQUIRE(follower.Decide(300ms).watch);
  follower.situation.preferred = std::vector<std::string>{"b"};
  (void)follower.Decide(400ms);
  follower.ReceiveStatus("b", 500ms);
  REQUIRE(follower.Decide(750ms).watch);
}

// Guards against following a relay that has resumed after a freeze, or whose
// watch was lost unnoticed: it reports a recent answer of the store, but lacks
// changes that the other relay has sent.
TEST_CASE("a relay that stays behind is dropped despite a recent store age") {
  Follower follower;
  (void)follower.Decide(0ms);
  follower.ReceiveFromBoth(100ms, 3100ms);
  for (auto at = 3500ms; at < 6000ms; at += 500ms) {
    follower.ReceiveStatus("a", at, 0ms, true);
    follower.ReceiveStatus("b", at);
    const auto decision = follower.Decide(at);
    if (decision.to_drop.empty()) continue;
    REQUIRE(decision.to_drop[0].name == "a");
    REQUIRE(decision.to_drop[0].why == Fault::kBehind);
    REQUIRE(at <= 5500ms);
    REQUIRE_FALSE(decision.watch);
    return;
  }
  FAIL("the relay was kept");
}

// Guards against a high call rate while the store is unreachable for the whole
// fleet: three hundred instances that retry twice a second cause more calls
// than a normal day.
TEST_CASE("while relays report an unreachable store, retries are slow") {
  Follower follower;
  (void)follower.Decide(0ms);
  for (auto at = 100ms; at <= 9000ms; at += 500ms) {
    follower.ReceiveStatus("a", at, at);
    follower.ReceiveStatus("b", at, at);
    const auto decision = follower.Decide(at);
    if (at < 7000ms) REQUIRE_FALSE(decision.watch);
    if (at > 8600ms) {
      REQUIRE(decision.watch);
      REQUIRE(decision.slow_retry);
    }
  }
}

// Guards against following, for longer than a change may take, relays that have
// all lost their connections to the store.
TEST_CASE("followers watch the store when the relays' watches are overdue") {
  Follower follower;
  follower.situation.watch_wait = 3s;
  follower.ReceiveFromBoth(100ms, 4100ms);
  follower.ReceiveStatus("a", 5100ms, 4900ms);
  follower.ReceiveStatus("b", 5100ms, 4800ms);
  REQUIRE_FALSE(follower.Decide(5200ms).watch);
  follower.ReceiveStatus("a", 6100ms, 5900ms);
  follower.ReceiveStatus("b", 6100ms, 5800ms);
  REQUIRE(follower.Decide(6200ms).watch);
}

// Guards against repeated attempts to follow an instance that no longer exists
// but is still listed as the preferred relay: each attempt takes up to two
// seconds.
TEST_CASE("attempts to follow a relay that never answers back off") {
  Follower follower;
  int asked = 0;
  for (auto at = 0ms; at < 60000ms; at += 250ms) {
    const auto decision = follower.Decide(at);
    asked += static_cast<int>(std::ranges::count(decision.to_follow, "a"));
    follower.ReceiveStatus("b", at);
    follower.ReceiveStatus("c", at);
  }
  REQUIRE(asked <= 6);
  REQUIRE(asked >= 3);
}

// Guards against a gap when the preferred relay restarts: the follower returns
// to it, but keeps the substitute until the preferred relay answers.
TEST_CASE("a substitute is dropped once the preferred relay answers") {
  Follower follower;
  (void)follower.Decide(0ms);
  follower.ReceiveFromBoth(100ms, 1100ms);
  follower.policy.OnDisconnected("a", kStart + 1200ms);
  REQUIRE(follower.Decide(1200ms).to_follow == std::vector<std::string>{"c"});
  follower.ReceiveStatus("b", 2200ms);
  follower.ReceiveStatus("c", 2200ms);
  follower.ReceiveStatus("b", 4200ms);
  follower.ReceiveStatus("c", 4200ms);
  const auto returned = follower.Decide(4300ms);
  REQUIRE(returned.to_follow == std::vector<std::string>{"a"});
  REQUIRE(returned.to_drop.empty());
  follower.ReceiveStatus("a", 4400ms);
  const auto after = follower.Decide(4500ms);
  REQUIRE(after.to_drop.size() == 1);
  REQUIRE(after.to_drop[0].name == "c");
  REQUIRE(after.to_drop[0].why == Fault::kSuperseded);
}
