#include "turmeric/balancing/choice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "turmeric/routing/choice.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::balancing::Candidate;
using turmeric::balancing::ChooseByExpectedTime;
using turmeric::balancing::Clock;
using turmeric::routing::ChoiceRequest;
using turmeric::routing::ChooseUpstream;
using turmeric::routing::Upstream;
using turmeric::routing::UpstreamPtr;

namespace {

const Clock::time_point kNow = Clock::time_point(100s);

ChoiceRequest RequestWith(uint64_t draw) {
  ChoiceRequest request;
  request.draw = draw;
  return request;
}

/** @return how often each candidate is chosen in 32,000 choices. */
std::vector<int> Count(const std::vector<Candidate>& candidates) {
  std::vector<int> counts(candidates.size());
  std::mt19937_64 random(1);
  for (int i = 0; i < 32000; ++i) {
    ++counts[*ChooseByExpectedTime(candidates, random(), kNow)];
  }
  return counts;
}

}  // namespace

TEST_CASE("without candidates there is no choice, with one there is that one") {
  CHECK_FALSE(ChooseByExpectedTime({}, 7, kNow));
  CHECK(ChooseByExpectedTime(std::vector<Candidate>(1), 7, kNow) == 0);
}

// Guards against the first of a list that gets all requests.
TEST_CASE("equal candidates get equal parts") {
  const std::vector<Candidate> equal(
      8,
      {.expected_ms = 100, .service_ms = 100, .slots = 6, .sampled_at = kNow});
  for (const int count : Count(equal)) {
    CHECK(count == Approx(4000).epsilon(0.1));
  }
}

// Guards against an upstream that was slow once and is never tried again, and
// against trials that cost many requests.
TEST_CASE("one in 32 choices tries the candidate sampled longest ago") {
  std::vector<Candidate> all(
      3,
      {.expected_ms = 100, .service_ms = 100, .slots = 6, .sampled_at = kNow});
  all[2] = {.expected_ms = 390,
            .service_ms = 390,
            .slots = 6,
            .sampled_at = kNow - 5s};
  CHECK(Count(all)[2] == Approx(1000).epsilon(0.1));
  all[2].sampled_at = kNow - 900ms;
  CHECK(Count(all)[2] == 0);
  all[2].sampled_at = kNow - 5s;
  all[2].expected_ms = 410;
  CHECK(Count(all)[2] == 0);
}

// Guards against a herd: 76 instances hold the same figures, 300 ms old, and
// must not all choose the one upstream that looked idle.
TEST_CASE("equal stale figures give no upstream three times its part") {
  constexpr int kInstances = 76;
  constexpr int kRequests = 4;
  for (const size_t count : {4U, 12U}) {
    std::vector<int> chosen(count);
    std::mt19937_64 random(1);
    for (int instance = 0; instance < kInstances; ++instance) {
      std::vector<UpstreamPtr> all;
      for (size_t i = 0; i < count; ++i) {
        all.push_back(std::make_shared<Upstream>());
        all.back()->entry.id = "i-" + std::to_string(i);
        all.back()->entry.slots = 6;
        all.back()->load.OnReport({.running = i == 0 ? 0 : 6,
                                   .waiting = i == 0 ? 0 : 12,
                                   .slots = 6,
                                   .pace = i == 0 ? 1.0 : 1.5,
                                   .at = kNow - 300ms});
      }
      for (int i = 0; i < kRequests; ++i) {
        const auto at = kNow + i * 25ms;
        const auto to = ChooseUpstream(all, RequestWith(random()), at);
        to->load.OnSend(at);
        ++chosen[static_cast<size_t>(std::ranges::find(all, to) - all.begin())];
      }
    }
    CAPTURE(chosen);
    CHECK(std::ranges::max(chosen) * static_cast<int>(count) <=
          3 * kInstances * kRequests);
  }
}

// Guards against a choice that ignores the filters when upstreams are uneven.
TEST_CASE("uneven upstreams are filtered as before") {
  std::vector<UpstreamPtr> all;
  for (int i = 0; i < 4; ++i) {
    all.push_back(std::make_shared<Upstream>());
    all.back()->entry.id = "i-" + std::to_string(i);
    all.back()->load.OnReport({.pace = 2.5, .at = kNow});
  }
  all[0]->ejected_until = kNow + 1s;
  all[1]->entry.draining = true;
  const std::vector<std::string> tried = {"i-2"};
  for (uint64_t draw = 0; draw < 100; ++draw) {
    ChoiceRequest request = RequestWith(draw);
    request.tried = tried;
    CHECK(ChooseUpstream(all, request, kNow) == all[3]);
  }
  CHECK(ChooseUpstream({}, RequestWith(1), kNow) == nullptr);
}
