#include "turmeric/memory/reception.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <utility>
#include <vector>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using namespace turmeric::memory;      // NOLINT(google-build-using-namespace)

namespace {

using TimePoint = std::chrono::steady_clock::time_point;

constexpr size_t kBody = 1000;
constexpr size_t kBound = 4 * kCopiesOfBody * kBody;
const TimePoint kNow = TimePoint(100s);

/** A body of which part was received evenly until now. */
Reception Receiving(uint64_t id, size_t received, TimePoint::duration age) {
  return {.id = id,
          .expected = kBody,
          .received = received,
          .began = kNow - age,
          .last_byte = kNow};
}

/** A body but for its last byte, of which nothing more comes. */
Reception Stopped(uint64_t id) {
  Reception stopped = Receiving(id, kBody - 1, 30s);
  stopped.last_byte = kNow - 10s;
  return stopped;
}

const Reception kNew = {.id = 100,
                        .expected = kBody,
                        .received = 0,
                        .began = kNow,
                        .last_byte = kNow};

}  // namespace

TEST_CASE("bodies are received while all of them fit") {
  std::vector<Reception> others;
  for (uint64_t id = 0; id < 3; ++id) {
    others.push_back(Receiving(id, kBody / 2, 2s));
    const auto decision = DecideReception(kNew, others, 0, kBound, kNow);
    REQUIRE(decision.admitted);
    REQUIRE(decision.given_up.empty());
  }
  others.push_back(Receiving(3, kBody / 2, 2s));
  REQUIRE_FALSE(DecideReception(kNew, others, 0, kBound, kNow).admitted);
}

TEST_CASE("complete requests take the room of bodies") {
  const std::vector<Reception> others = {Receiving(1, 10, 2s)};
  REQUIRE(DecideReception(kNew, others, kBound / 2, kBound, kNow).admitted);
  REQUIRE_FALSE(DecideReception(kNew, others, kBound, kBound, kNow).admitted);
}

// Guards against clients that keep bodies open, short of their end, and so keep
// others from sending theirs.
TEST_CASE("a body that does not go on is given up for a new one") {
  const std::vector<Reception> others = {
      Receiving(1, kBody / 2, 2s), Stopped(2), Receiving(3, kBody / 2, 2s),
      Stopped(4)};
  const auto decision = DecideReception(kNew, others, 0, kBound, kNow);
  REQUIRE(decision.admitted);
  REQUIRE(decision.given_up.size() == 1);
  REQUIRE((decision.given_up[0] == 2 || decision.given_up[0] == 4));
}

TEST_CASE("a body that goes on for long is given up for a new one") {
  std::vector<Reception> others(4, Receiving(1, kBody / 2, 2s));
  others[2] = Receiving(7, 10, 10s);
  const auto decision = DecideReception(kNew, others, 0, kBound, kNow);
  REQUIRE(decision.admitted);
  REQUIRE(decision.given_up == std::vector<uint64_t>{7});
}

// Guards against clients that send the last bytes of bodies one by one.
TEST_CASE("a body that is almost complete for long is given up for a new one") {
  std::vector<Reception> others(4, Receiving(1, kBody / 2, 2s));
  others[1] = Receiving(7, kBody - 1, 30s);
  const auto decision = DecideReception(kNew, others, 0, kBound, kNow);
  REQUIRE(decision.admitted);
  REQUIRE(decision.given_up == std::vector<uint64_t>{7});
}

TEST_CASE("a slow body is received to its end while there is room") {
  const std::vector<Reception> others = {Receiving(1, 10, 10s), Stopped(2)};
  REQUIRE(DecideReception(kNew, others, 0, kBound, kNow).given_up.empty());
}

TEST_CASE("a body that is alone is received whatever its size") {
  REQUIRE(DecideReception(kNew, {}, 0, kBody / 2, kNow).admitted);
}

namespace {

/** Clients that begin bodies, send parts of them, and stop. */
struct Clients {
  void Begin(size_t expected) {
    const Reception request = {.id = ++last_id,
                               .expected = expected,
                               .received = 0,
                               .began = now,
                               .last_byte = now};
    const std::vector<Reception> others = Open();
    const auto decision = DecideReception(request, others, 0, kBound, now);
    CheckDecision(request, others, decision);
    if (!decision.admitted) return;
    for (const uint64_t id : decision.given_up) open.erase(id);
    open[request.id] = request;
  }
  void SendTo(size_t index, size_t bytes) {
    if (open.empty()) return;
    const auto it = std::next(open.begin(),
                              static_cast<std::ptrdiff_t>(index % open.size()));
    Reception& reception = it->second;
    reception.last_byte = now;
    reception.received += bytes;
    if (reception.received >= reception.expected) open.erase(it);
  }
  std::vector<Reception> Open() const {
    std::vector<Reception> all;
    for (const auto& [id, reception] : open) all.push_back(reception);
    return all;
  }
  size_t Reserved() const {
    size_t bytes = 0;
    for (const auto& [id, r] : open) bytes += kCopiesOfBody * r.expected;
    return bytes;
  }
  void CheckDecision(const Reception& request,
                     const std::vector<Reception>& others,
                     const ReceptionDecision& decision) const {
    const bool fits = Reserved() + kCopiesOfBody * request.expected <= kBound;
    if (others.empty() || fits) RC_ASSERT(decision.admitted);
    if (fits) RC_ASSERT(decision.given_up.empty());
    if (!decision.admitted) RC_ASSERT(decision.given_up.empty());
    // A new request is refused only for others that go on.
    const bool any_goes_on = std::ranges::any_of(
        others, [this](const Reception& r) { return now - r.last_byte < 1s; });
    if (!any_goes_on) RC_ASSERT(decision.admitted);
  }

  TimePoint now = kNow;
  uint64_t last_id = 0;
  std::map<uint64_t, Reception> open;
};

}  // namespace

TEST_CASE("bodies of any sequence of clients stay below the bound") {
  REQUIRE(rc::check([] {
    Clients clients;
    const auto steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          clients.Begin(*rc::gen::inRange<size_t>(1, kBody));
          break;
        case 1:
          clients.SendTo(*rc::gen::inRange<size_t>(0, 100),
                         *rc::gen::inRange<size_t>(1, kBody));
          break;
        default:
          clients.now += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
      }
      RC_ASSERT(clients.Reserved() <= kBound);
    }
  }));
}

namespace {

std::vector<PartialRequest> ArbitraryPartialRequests() {
  std::vector<PartialRequest> requests;
  const auto count = *rc::gen::inRange<uint64_t>(0, 50);
  for (uint64_t id = 0; id < count; ++id) {
    requests.push_back(
        {.id = id,
         .held = *rc::gen::inRange<size_t>(1, kBody),
         .sent_ahead = *rc::gen::arbitrary<bool>(),
         .began = kNow - std::chrono::milliseconds(*rc::gen::inRange(0, 100))});
  }
  return requests;
}

}  // namespace

// Guards against clients that send parts of small requests, until their sum
// takes the memory.
TEST_CASE("partial requests of any clients stay below the bound") {
  REQUIRE(rc::check([] {
    std::vector<PartialRequest> kept = ArbitraryPartialRequests();
    const size_t bound = *rc::gen::inRange<size_t>(kBody, 20 * kBody);
    const auto given_up = DecidePartial(kept, bound);
    std::vector<PartialRequest> gone;
    std::erase_if(kept, [&](const PartialRequest& request) {
      const bool is_gone = std::ranges::count(given_up, request.id) > 0;
      if (is_gone) gone.push_back(request);
      return is_gone;
    });
    size_t held = 0;
    for (const PartialRequest& request : kept) held += request.held;
    RC_ASSERT(gone.size() == given_up.size());
    RC_ASSERT(held <= bound);
    if (gone.empty()) return;
    const auto order = [](const PartialRequest& request) {
      return std::pair(request.sent_ahead, request.began);
    };
    const PartialRequest last =
        *std::ranges::find(gone, given_up.back(), &PartialRequest::id);
    RC_ASSERT(held + last.held > bound);
    for (const PartialRequest& request : kept) {
      RC_ASSERT(order(last) <= order(request));
    }
  }));
}
