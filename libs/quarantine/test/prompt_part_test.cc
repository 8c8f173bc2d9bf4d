#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "turmeric/quarantine/crash_ledger.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::quarantine::Clock;
using turmeric::quarantine::Crash;
using turmeric::quarantine::CrashLedger;
using turmeric::quarantine::GoodRun;
using turmeric::quarantine::RequestTraits;
using turmeric::quarantine::Trial;

namespace {

constexpr Clock::time_point kStart{1h};
using Parts = std::vector<std::string>;

/** A ledger to which each crash and run brings another request. */
class PartLedger {
 public:
  /** Records that an upstream crashed under one new request for each list. */
  void CrashUnder(const std::vector<Parts>& requests,
                  const std::string& service = "llm") {
    now += 1s;
    const std::string upstream = "i-" + std::to_string(++upstreams_);
    for (const Parts& parts : requests) {
      ledger.Record(Crash{.fingerprint = NextFingerprint(),
                          .service = service,
                          .upstream = upstream,
                          .at = now,
                          .progressed = false,
                          .parts = parts});
    }
  }
  void Run(const Parts& parts, const std::string& service = "llm") {
    now += 100ms;
    ledger.Record(GoodRun{NextFingerprint(), service, now, parts});
  }
  /** @return whether a new request with the parts is refused. */
  bool Refuses(const Parts& parts, const std::string& service = "llm") {
    const RequestTraits traits{NextFingerprint(), parts};
    return ledger.RemainingQuarantine({traits, service}, now).has_value();
  }

  CrashLedger ledger;
  Clock::time_point now = kStart;

 private:
  std::string NextFingerprint() { return "w" + std::to_string(++requests_); }

  int requests_ = 0;
  int upstreams_ = 0;
};

}  // namespace

// Guards against requests that crash one upstream each because they are never
// alike.
TEST_CASE("a part under which three upstreams crashed is refused") {
  PartLedger f;
  for (int i = 0; i < 3; ++i) {
    REQUIRE_FALSE(f.Refuses({"m/a", "m/h"}));
    f.CrashUnder({{"m/a", "m/h"}, {"m/b" + std::to_string(i)}});
    f.Run({"m/a", "m/b" + std::to_string(i)});
  }
  REQUIRE(f.Refuses({"m/h"}));
  REQUIRE_FALSE(f.Refuses({"m/a", "m/x"}));
  REQUIRE_FALSE(f.Refuses({"m/h"}, "other"));
  const RequestTraits traits{"w", {"m/a", "m/h"}};
  REQUIRE(f.ledger.CauseIn({traits, "llm"}) == "m/h");
}

// Guards against a popular first part that is blamed for crashes with several
// causes, as it was running on each upstream.
TEST_CASE("a first part that was present at all crashes is not refused") {
  PartLedger f;
  for (int i = 0; i < 6; ++i) {
    f.CrashUnder({{"m/a", i % 2 == 0 ? "m/h" : "m/k"}});
  }
  REQUIRE_FALSE(f.Refuses({"m/a", "m/x"}));
  REQUIRE(f.Refuses({"m/a", "m/h"}));
  REQUIRE(f.Refuses({"m/a", "m/k"}));
  f.Run({"m/a"});
  REQUIRE(f.Refuses({"m/h"}));
  REQUIRE(f.Refuses({"m/k"}));
}

// Guards against refusing both of two parts that always come together.
TEST_CASE("of two parts with the same crashes each may show its innocence") {
  PartLedger f;
  for (int i = 0; i < 3; ++i) f.CrashUnder({{"m/h", "m/n"}});
  REQUIRE(f.Refuses({"m/h", "m/n"}));
  REQUIRE_FALSE(f.Refuses({"m/n"}));
  REQUIRE_FALSE(f.Refuses({"m/h"}));
  SECTION("a good run of one clears it") {
    f.Run({"m/n"});
    REQUIRE(f.Refuses({"m/h"}));
    REQUIRE_FALSE(f.Refuses({"m/n", "m/x"}));
  }
  SECTION("a crash of one convicts it") {
    f.CrashUnder({{"m/h", "m/y"}});
    REQUIRE_FALSE(f.Refuses({"m/n"}));
    f.CrashUnder({{"m/h", "m/z"}});
    REQUIRE(f.Refuses({"m/h"}));
    REQUIRE_FALSE(f.Refuses({"m/n"}));
  }
}

// Guards against refusing a part for minutes, without a way to clear it, where
// others explain most of its crashes.
TEST_CASE("a part with little evidence is refused for seconds") {
  PartLedger f;
  for (int i = 0; i < 2; ++i) f.CrashUnder({{"m/a", "m/h"}});
  for (int i = 0; i < 2; ++i) f.CrashUnder({{"m/a", "m/k"}});
  f.CrashUnder({{"m/a"}});
  REQUIRE(f.Refuses({"m/a"}));
  f.now += 3s;
  REQUIRE_FALSE(f.Refuses({"m/a"}));
}

// Guards against one request for each instance that is sent after the end of a
// quarantine.
TEST_CASE("after a quarantine other requests wait for the trial") {
  PartLedger f;
  for (int i = 0; i < 3; ++i) f.CrashUnder({{"m/h"}});
  f.now += 10min;
  const RequestTraits traits{"w", {"m/h"}};
  const auto trial = f.ledger.TrialOf({traits, "llm"}, f.now);
  REQUIRE(trial == "m/h");
  REQUIRE_FALSE(f.ledger.RemainingTrial({traits, "llm"}, f.now));
  f.ledger.Record(Trial{*trial, f.now});
  REQUIRE(f.ledger.RemainingTrial({traits, "llm"}, f.now + 1s) == 9s);
  REQUIRE_FALSE(f.ledger.RemainingTrial({traits, "llm"}, f.now + 10s));
  SECTION("a good run ends it") {
    f.Run({"m/h"});
    REQUIRE_FALSE(f.ledger.RemainingTrial({traits, "llm"}, f.now));
    REQUIRE_FALSE(f.Refuses({"m/h"}));
  }
  SECTION("a crash doubles the quarantine") {
    f.CrashUnder({{"m/h"}});
    REQUIRE(f.ledger.RemainingQuarantine({traits, "llm"}, f.now) == 20min);
  }
}

// Guards against refusing popular parts after a loss of power.
TEST_CASE("upstreams that crash together quarantine no part") {
  PartLedger f;
  for (int i = 0; i < 5; ++i) {
    f.CrashUnder({{"m/a"}});
    f.now -= 1s;
  }
  REQUIRE_FALSE(f.Refuses({"m/a"}));
}

// Guards against decisions that take as long as many requests.
TEST_CASE("a verdict is quick while many requests share a crashed part") {
  PartLedger f;
  constexpr int kUpstreams = 40;
  constexpr int kRequests = 100;
  for (int i = 0; i < kUpstreams; ++i) {
    std::vector<Parts> requests;
    for (int k = 0; k < kRequests; ++k) {
      requests.push_back({"m/a", "m/s" + std::to_string(k % 50)});
    }
    f.CrashUnder(requests);
  }
  const auto begin = Clock::now();
  for (int i = 0; i < 20; ++i) f.Refuses({"m/a", "m/x"});
  REQUIRE(Clock::now() - begin < 2s);
}

// Guards against a flood of crashes with other causes that pushes out the
// evidence against a part.
TEST_CASE("crashes that quarantine no request are evicted first") {
  PartLedger f;
  for (int i = 0; i < 3; ++i) f.CrashUnder({{"m/h"}});
  for (int i = 0; i < 5000; ++i) {
    const std::string number = std::to_string(i);
    f.ledger.Record(Crash{.fingerprint = "other" + number,
                          .service = "llm",
                          .upstream = "u" + number,
                          .at = f.now + std::chrono::milliseconds(i),
                          .progressed = false,
                          .parts = {"m/" + number}});
  }
  REQUIRE(f.Refuses({"m/h"}));
  REQUIRE(f.ledger.size() < 2 * 4096 + 10);
}

// Guards against stored evidence that other requests with a popular part crowd
// out, so that a fleet that was killed admits the harmful part again.
TEST_CASE("the records sent and stored are enough to refuse a part") {
  PartLedger f;
  for (int i = 0; i < 4; ++i) {
    std::vector<Parts> requests{{"m/a", "m/h"}};
    for (int k = 0; k < 20; ++k) {
      requests.push_back({"m/a", "m/s" + std::to_string(100 * i + k)});
    }
    f.CrashUnder(requests);
  }
  const RequestTraits traits{"new", {"m/a", "m/h"}};
  REQUIRE(f.Refuses(traits.parts));
  CrashLedger other;
  for (const Crash& crash : f.ledger.CrashesUnder({traits, "llm"})) {
    other.Record(crash);
  }
  REQUIRE(other.RemainingQuarantine({traits, "llm"}, f.now));
}

// Guards against an instance that starts with less than its peers know.
TEST_CASE("recurring crashes are enough for another ledger to decide alike") {
  REQUIRE(rc::check("same refusals", [] {
    PartLedger f;
    const Parts names{"m/a", "m/b", "m/h", "m/k"};
    for (int i = 0; i < 12; ++i) {
      Parts parts;
      for (const std::string& name : names) {
        if (*rc::gen::arbitrary<bool>()) parts.push_back(name);
      }
      if (*rc::gen::inRange(0, 3) == 0) {
        f.Run(parts);
      } else {
        f.CrashUnder({parts});
      }
    }
    CrashLedger other;
    const auto recurring = f.ledger.RecurringCrashes();
    for (const Crash& crash : recurring) other.Record(crash);
    // A good run is known to ledgers that had the crash; one that starts later
    // receives the crashes that count.
    for (const std::string& name : names) {
      const RequestTraits traits{"new", {name}};
      if (f.ledger.RemainingQuarantine({traits, "llm"}, f.now)) {
        RC_ASSERT(other.RemainingQuarantine({traits, "llm"}, f.now));
      }
    }
  }));
}
