#include "turmeric/routing/choice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::routing::ChoiceRequest;
using turmeric::routing::ChooseApart;
using turmeric::routing::ChooseUpstream;
using turmeric::routing::Clock;
using turmeric::routing::HomeUpstream;
using turmeric::routing::NoteOutcome;
using turmeric::routing::Outcome;
using turmeric::routing::Upstream;
using turmeric::routing::UpstreamPtr;

namespace {

const Clock::time_point kNow = Clock::time_point(100s);

std::vector<UpstreamPtr> MakeUpstreams(int count) {
  std::vector<UpstreamPtr> all;
  for (int i = 0; i < count; ++i) {
    auto u = std::make_shared<Upstream>();
    u->entry.id = "i-" + std::to_string(i);
    u->entry.zone = i % 2 == 0 ? "zone-a" : "zone-b";
    u->entry.slots = 8;
    all.push_back(std::move(u));
  }
  return all;
}

ChoiceRequest Prompt(std::string_view shared, std::string_view session) {
  ChoiceRequest request;
  request.has_prompt = true;
  request.shared_part = shared;
  request.session_part = session;
  request.shared_ms = 60;
  request.session_ms = 100;
  return request;
}

}  // namespace

TEST_CASE("a session keeps its upstream while that is not overloaded") {
  const auto all = MakeUpstreams(12);
  const auto request = Prompt("part", "session");
  const UpstreamPtr home = HomeUpstream(all, request, kNow);
  REQUIRE(ChooseUpstream(all, request, kNow) == home);
  home->pending_prompt_ms = 150;
  REQUIRE(ChooseUpstream(all, request, kNow) == home);
  home->pending_prompt_ms = 5000;
  REQUIRE(ChooseUpstream(all, request, kNow) != home);
}

// Story: engines read the same long shared part again and again, each its
// own copy, because sessions were spread over all of them by their own part
// alone. Sessions with one shared part must meet on a few engines.
TEST_CASE("sessions of one shared part live on few upstreams") {
  const auto all = MakeUpstreams(12);
  std::set<std::string> used;
  for (int i = 0; i < 100; ++i) {
    const std::string session = "s" + std::to_string(i);
    used.insert(ChooseUpstream(all, Prompt("part", session), kNow)->entry.id);
  }
  REQUIRE(used.size() <= 6);
  REQUIRE(used.size() > 1);
}

TEST_CASE("requests without affinity go where least is open") {
  const auto all = MakeUpstreams(3);
  for (const auto& u : all) u->latency_ms = 50;
  all[0]->in_flight = 4;
  all[1]->in_flight = 2;
  REQUIRE(ChooseUpstream(all, {}, kNow) == all[2]);
}

TEST_CASE("tried, leaving and unlisted upstreams are not chosen") {
  const auto all = MakeUpstreams(3);
  all[0]->entry.draining = true;
  all[1]->listed = false;
  const std::vector<std::string> tried = {"i-2"};
  ChoiceRequest request;
  REQUIRE(ChooseUpstream(all, request, kNow) == all[2]);
  request.tried = tried;
  REQUIRE(ChooseUpstream(all, request, kNow) == nullptr);
}

// Story: an upstream process dies. Its list entry stays for seconds, and
// each connection to it fails at once, so it looks like the idlest of all.
// It must be left out after the first failure, and be used again later.
TEST_CASE("an upstream that cannot be reached is left out for a while") {
  const auto all = MakeUpstreams(2);
  NoteOutcome(*all[0], Outcome::kNotSent, 0, kNow);
  for (int i = 0; i < 10; ++i) {
    REQUIRE(ChooseUpstream(all, {}, kNow + 100ms) == all[1]);
    all[1]->in_flight = i;
  }
  REQUIRE(ChooseUpstream(all, {}, kNow + 10s) == all[0]);
}

TEST_CASE("an avoided upstream is better than none") {
  const auto all = MakeUpstreams(1);
  NoteOutcome(*all[0], Outcome::kNotSent, 0, kNow);
  REQUIRE(ChooseUpstream(all, {}, kNow) == all[0]);
}

// Story: an upstream fails half of its requests while its health check is
// good. Failures alternate with answers, so no three come in a row.
TEST_CASE("an upstream that fails every other request is left out") {
  const auto all = MakeUpstreams(1);
  for (int i = 0; i < 20; ++i) {
    NoteOutcome(*all[0], i % 2 == 0 ? Outcome::kError : Outcome::kAnswered, 10,
                kNow);
    if (kNow < all[0]->ejected_till) break;
  }
  REQUIRE(kNow < all[0]->ejected_till);
}

// Guards against the innocent that meet the cause of a crash again wherever
// they are sent on, until they count as the cause themselves.
TEST_CASE("works that were on one upstream when it ended part") {
  const auto all = MakeUpstreams(12);
  const std::vector<std::string> tried{"i-3"};
  std::map<std::string, int> placed;
  for (int i = 0; i < 120; ++i) {
    const auto u = ChooseApart(all, "work" + std::to_string(i), tried, kNow);
    REQUIRE(u->entry.id != "i-3");
    ++placed[u->entry.id];
  }
  REQUIRE(placed.size() == 11);
  REQUIRE(std::ranges::all_of(
      placed, [](const auto& entry) { return entry.second < 30; }));
}

TEST_CASE(
    "work that is kept apart goes to no upstream that fails or has left") {
  const auto all = MakeUpstreams(3);
  const auto first = ChooseApart(all, "work", {}, kNow);
  first->ejected_till = kNow + 1s;
  const auto second = ChooseApart(all, "work", {}, kNow);
  REQUIRE(second != first);
  second->listed = false;
  const auto third = ChooseApart(all, "work", {}, kNow);
  REQUIRE(third != second);
  REQUIRE(third != first);
  third->listed = false;
  REQUIRE(ChooseApart(all, "work", {}, kNow) == first);
  first->listed = false;
  REQUIRE(ChooseApart(all, "work", {}, kNow) == nullptr);
}
