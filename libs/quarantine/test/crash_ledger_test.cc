#include "turmeric/quarantine/crash_ledger.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>
#include <variant>
#include <vector>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::quarantine::Clock;
using turmeric::quarantine::Crash;
using turmeric::quarantine::CrashLedger;
using turmeric::quarantine::GoodRun;

namespace {

constexpr Clock::time_point kStart{1h};

Crash CrashOf(const std::string& upstream, Clock::time_point at = kStart,
              bool progressed = false) {
  return {.fingerprint = "w",
          .service = "llm",
          .upstream = upstream,
          .at = at,
          .progressed = progressed};
}

/** @return a ledger with crashes a second apart, the last one at kStart. */
CrashLedger LedgerOf(int crashes, bool progressed = false) {
  CrashLedger ledger;
  for (int i = 0; i < crashes; ++i) {
    ledger.Record(CrashOf("i-" + std::to_string(i),
                          kStart - 1s * (crashes - 1 - i), progressed));
  }
  return ledger;
}

}  // namespace

// Guards against a request that crashes one upstream after the other.
TEST_CASE("a request is quarantined after three upstreams crashed under it") {
  REQUIRE_FALSE(LedgerOf(2).RemainingQuarantine("w", kStart));
  const CrashLedger ledger = LedgerOf(3);
  REQUIRE(ledger.RemainingQuarantine("w", kStart) == 10min);
  REQUIRE(ledger.RemainingQuarantine("w", kStart + 4min) == 6min);
  REQUIRE_FALSE(ledger.RemainingQuarantine("w", kStart + 10min));
  REQUIRE_FALSE(ledger.RemainingQuarantine("other", kStart));
}

// Guards against counting a crash once for each instance that detects it.
TEST_CASE("one crash of an upstream counts once") {
  CrashLedger ledger = LedgerOf(2);
  REQUIRE_FALSE(ledger.Record(CrashOf("i-1", kStart + 1s)));
  REQUIRE(ledger.crash_count("w") == 2);
}

// Guards against refusing frequent requests for minutes after an outage.
TEST_CASE("an outage quarantines requests in flight for seconds only") {
  CrashLedger ledger;
  for (int i = 0; i < 12; ++i) {
    ledger.Record(CrashOf("i-" + std::to_string(i), kStart + 8ms * i));
  }
  REQUIRE(ledger.RemainingQuarantine("w", kStart + 88ms) == 3s);
  REQUIRE_FALSE(ledger.RemainingQuarantine("w", kStart + 3088ms));
  REQUIRE(ledger.IsSuspect("w"));
  ledger.Record(CrashOf("i-12", kStart + 4s));
  REQUIRE(ledger.RemainingQuarantine("w", kStart + 4s) > 10min);
}

// Guards against refusing streams whose upstream crashed in the middle of the
// answer.
TEST_CASE("a crash after progress counts half") {
  CrashLedger ledger = LedgerOf(5, true);
  REQUIRE_FALSE(ledger.RemainingQuarantine("w", kStart));
  ledger.Record(CrashOf("i-5", kStart + 1s, true));
  REQUIRE(ledger.RemainingQuarantine("w", kStart + 1s));
}

// Guards against refusing harmless requests that were in flight to the same
// upstreams as the cause of the crashes.
TEST_CASE("a good run clears earlier crashes") {
  CrashLedger ledger = LedgerOf(2);
  REQUIRE(ledger.Record(GoodRun{"w", "llm", kStart + 1s}) ==
          std::vector<std::string>{"w"});
  REQUIRE(ledger.Record(GoodRun{"w", "llm", kStart + 2s}).empty());
  REQUIRE(ledger.crash_count("w") == 0);
  // A crash from before the good run changes nothing if it is received later.
  REQUIRE_FALSE(ledger.Record(CrashOf("i-9", kStart + 500ms)));
  REQUIRE_FALSE(ledger.RemainingQuarantine("w", kStart + 2s));
  REQUIRE(ledger.Record(CrashOf("i-10", kStart + 3s)));
  REQUIRE(ledger.crash_count("w") == 1);
}

// Guards against clearing a request that crashes engines because its stages run
// completely.
TEST_CASE("a good run at another service clears no crash") {
  CrashLedger ledger = LedgerOf(3);
  REQUIRE(ledger.Record(GoodRun{"w", "portal", kStart + 1s}).empty());
  REQUIRE(ledger.RemainingQuarantine("w", kStart + 1s));
}

TEST_CASE("each crash after a quarantine doubles the next one") {
  CrashLedger ledger = LedgerOf(3);
  ledger.Record(CrashOf("i-3", kStart + 11min));
  REQUIRE(ledger.RemainingQuarantine("w", kStart + 11min) == 20min);
  ledger.Record(CrashOf("i-4", kStart + 40min));
  REQUIRE(ledger.RemainingQuarantine("w", kStart + 40min) == 40min);
}

TEST_CASE("old crashes are dropped, quarantined ones after the quarantine") {
  CrashLedger ledger = LedgerOf(1);
  ledger.Expire(kStart + 9min);
  REQUIRE(ledger.size() == 1);
  ledger.Expire(kStart + 10min);
  REQUIRE(ledger.size() == 0);
  ledger = LedgerOf(3);
  ledger.Expire(kStart + 19min);
  REQUIRE(ledger.size() == 1);
  ledger.Expire(kStart + 20min);
  REQUIRE(ledger.size() == 0);
}

// Guards against unbounded memory use after thousands of crashes, as in a loss
// of power.
TEST_CASE("a ledger is bounded and keeps the newest crashes") {
  CrashLedger ledger;
  for (int i = 0; i < 5000; ++i) {
    Crash crash = CrashOf("i", kStart + std::chrono::milliseconds(i));
    crash.fingerprint = std::to_string(i);
    ledger.Record(crash);
  }
  REQUIRE(ledger.size() == 4096);
  REQUIRE(ledger.crash_count("4999") == 1);
  REQUIRE(ledger.crash_count("0") == 0);
}

// Guards against instances that decide differently because they receive the
// same crashes in different order.
TEST_CASE("ledgers agree for any order and repetition of their input") {
  using Event = std::variant<Crash, GoodRun>;
  const auto record_event = [](CrashLedger& ledger, const Event& event) {
    std::visit([&](const auto& e) { ledger.Record(e); }, event);
  };
  REQUIRE(rc::check("any order", [&] {
    std::vector<Event> events;
    // Each upstream crashes once, whichever instance records it.
    for (int i = 0; i < 6; ++i) {
      events.emplace_back(CrashOf("i-" + std::to_string(i),
                                  kStart + 1s * *rc::gen::inRange(0, 20),
                                  *rc::gen::arbitrary<bool>()));
    }
    CrashLedger first;
    for (const Event& event : events) record_event(first, event);
    // Good runs are only recorded by ledgers that have a crash of the request.
    const int runs = *rc::gen::inRange(0, 3);
    for (int i = 0; i < runs; ++i) {
      events.emplace_back(
          GoodRun{"w", "llm", kStart + 1s * *rc::gen::inRange(0, 20)});
      record_event(first, events.back());
    }
    CrashLedger second;
    record_event(second, events.front());
    const auto order = *rc::gen::container<std::vector<size_t>>(
        rc::gen::inRange<size_t>(0, events.size()));
    for (const size_t at : order) record_event(second, events[at]);
    for (const Event& event : events) record_event(second, event);
    RC_ASSERT(first.crash_count("w") == second.crash_count("w"));
    const auto now = kStart + 30s;
    RC_ASSERT(first.RemainingQuarantine("w", now) ==
              second.RemainingQuarantine("w", now));
  }));
}
