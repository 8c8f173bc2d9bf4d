#include "turmeric/entry/permit_requester.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using turmeric::entry::PermitRequester;
using turmeric::limits::LimitStatement;
using turmeric::peer::PermitOrder;
using turmeric::routing::Clock;
using turmeric::routing::IssuerList;
using turmeric::routing::UpstreamPtr;
using turmeric::routing::UpstreamTable;

namespace {

constexpr Clock::time_point kStart{1h};

/** A requester, its orders, and the result of its last request. */
class Fixture {
 public:
  Fixture()
      : requester(upstreams, issuers,
                  {.reaches = [](const std::string&) { return true; },
                   .order =
                       [this](const std::string& name, const PermitOrder& order,
                              Clock::time_point) {
                         asked.push_back(name);
                         last = order;
                       }}) {
    upstreams.Put({.id = "i-1", .service = "app"});
    upstream = upstreams.Find("i-1");
    upstream->rate_limit.Apply(
        {.per_s = 1, .sent_at = kStart, .received_at = kStart});
    const std::vector<std::string> names = {"entry-0", "entry-1"};
    issuers.OnList(names, true, kStart);
  }

  void Acquire(UpstreamPtr wanted, milliseconds max_wait,
               Clock::time_point now) {
    result.reset();
    requester.Acquire(
        {.service = "app",
         .upstream = std::move(wanted),
         .excluded = {},
         .max_wait = max_wait},
        [this](const UpstreamPtr& granted, Clock::time_point) {
          result = granted;
        },
        now);
  }
  void Answer(std::string granted, milliseconds wait, Clock::time_point now) {
    requester.OnPermit(
        asked.back(),
        {.ticket = last.ticket, .upstream = std::move(granted), .wait = wait},
        now);
  }

  UpstreamTable upstreams;
  UpstreamPtr upstream;
  IssuerList issuers{"entry-0", false};
  std::vector<std::string> asked;
  PermitOrder last;
  /** nullopt: open. */
  std::optional<UpstreamPtr> result;
  PermitRequester requester;
};

}  // namespace

TEST_CASE("a permit is passed on at its slot") {
  Fixture f;
  f.Acquire(nullptr, 200ms, kStart);
  f.Answer("i-1", 100ms, kStart + 4ms);
  f.requester.Tick(kStart + 100ms);
  REQUIRE_FALSE(f.result);
  f.requester.Tick(kStart + 104ms);
  REQUIRE(f.result == f.upstream);
}

// Guards against a process that was suspended and uses a permit whose slot is
// long past.
TEST_CASE("a permit that is used late is dropped") {
  Fixture f;
  f.Acquire(nullptr, 200ms, kStart);
  f.Answer("i-1", 100ms, kStart + 4ms);
  f.requester.Tick(kStart + 3s);
  REQUIRE(f.result);
  REQUIRE_FALSE(*f.result);
  f.Acquire(f.upstream, 0ms, kStart + 4s);
  f.Answer("i-1", 0ms, kStart + 7s);
  REQUIRE(f.result);
  REQUIRE_FALSE(*f.result);
}

// Guards against new work for an upstream that has begun to drain while the
// request waits for its permit.
TEST_CASE("a permit for an upstream that drains meanwhile is dropped") {
  Fixture f;
  f.Acquire(nullptr, 200ms, kStart);
  f.Answer("i-1", 100ms, kStart + 4ms);
  f.upstreams.Put({.id = "i-1", .service = "app", .draining = true});
  f.requester.Tick(kStart + 110ms);
  REQUIRE(f.result);
  REQUIRE_FALSE(*f.result);
}

TEST_CASE("after a refusal, the issuer is asked again when it has a permit") {
  Fixture f;
  f.Acquire(f.upstream, 0ms, kStart);
  f.Answer({}, 300ms, kStart);
  REQUIRE(f.result);
  REQUIRE_FALSE(*f.result);
  REQUIRE(f.requester.MayBeGranted(*f.upstream, 0ms, kStart));
  f.Acquire(f.upstream, 0ms, kStart + 1ms);
  REQUIRE(f.asked.front() != f.asked.back());
  f.Answer({}, 300ms, kStart + 1ms);
  REQUIRE_FALSE(f.requester.MayBeGranted(*f.upstream, 0ms, kStart + 299ms));
  REQUIRE(f.requester.MayBeGranted(*f.upstream, 0ms, kStart + 301ms));
}

// Guards against requests to different upstreams that each wait for an issuer
// that does not answer.
TEST_CASE("an issuer that does not answer is not asked for a while") {
  Fixture f;
  f.Acquire(f.upstream, 0ms, kStart);
  f.requester.Tick(kStart + 120ms);
  f.Acquire(f.upstream, 0ms, kStart + 120ms);
  f.requester.Tick(kStart + 240ms);
  REQUIRE(f.asked.size() == 2);
  REQUIRE(f.asked[0] != f.asked[1]);
  f.Acquire(nullptr, 200ms, kStart + 250ms);
  REQUIRE(f.asked.size() == 2);
  REQUIRE(f.result);
  REQUIRE_FALSE(f.requester.has_open());
  f.Acquire(nullptr, 200ms, kStart + 800ms);
  REQUIRE(f.asked.size() == 3);
}
