#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "turmeric/quarantine/crash_ledger.h"
#include "turmeric/routing/choice.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::quarantine::Clock;
using turmeric::quarantine::Crash;
using turmeric::quarantine::CrashLedger;
using turmeric::quarantine::GoodRun;
using turmeric::quarantine::RequestTraits;
using turmeric::routing::ChoiceRequest;
using turmeric::routing::ChooseUpstream;
using turmeric::routing::Upstream;
using turmeric::routing::UpstreamPtr;

namespace {

using Parts = std::vector<std::string>;

constexpr int kEngines = 12;
constexpr std::chrono::milliseconds kStep{10};
constexpr std::chrono::milliseconds kEngineRestartTime{4000};
constexpr std::chrono::milliseconds kStageTime{800};
constexpr std::chrono::milliseconds kPromptTime{90};
/** From the begin of an answer to the crash. */
constexpr std::chrono::milliseconds kCrashAfter{100};
constexpr std::chrono::milliseconds kClearingRunTime{500};
constexpr std::chrono::milliseconds kMaxRunTime{3000};
constexpr const char* kHarmful[] = {"m/dead", "m/beef"};

/** What the harmful requests share besides the harmful part. */
enum class Company {
  kAny,           ///< The parts of any harmless request.
  kOneFirstPart,  ///< All have the same first part.
  kOneNeighbour,  ///< All have the same two other parts.
};

struct Run {
  RequestTraits traits;
  std::string harmful;   ///< Empty: harmless.
  UpstreamPtr engine;    ///< Null during the stages.
  Clock::time_point at;  ///< End of the stages, then begin of the answer.
  std::chrono::milliseconds run_time{0};
  bool cleared = false;
  int sends = 0;
};

/** Simulates engines and the requests on them, which are never alike, with one
 * ledger, as if all instances were connected. */
class PartFleet {
 public:
  PartFleet(uint32_t seed, int harmful_parts, Company company)
      : random_(seed), harmful_parts_(harmful_parts), company_(company) {
    for (int i = 0; i < kEngines; ++i) engines_.push_back(NewEngine());
  }

  void Step() {
    now_ += kStep;
    if (random_() % 5 == 0) Arrive({});
    if (harmful_parts_ > 0 && now_ > kHarmfulFrom && random_() % 40 == 0) {
      Arrive(kHarmful[random_() % static_cast<uint32_t>(harmful_parts_)]);
    }
    std::vector<Run> due;
    std::erase_if(runs_, [&](const Run& run) {
      if (run.engine || now_ < run.at) return false;
      due.push_back(run);
      return true;
    });
    for (Run& run : due) Send(std::move(run));
    std::erase_if(runs_, [this](Run& run) { return Progress(run); });
    const auto cause = std::ranges::find_if(runs_, [this](const Run& run) {
      return run.engine && !run.harmful.empty() && now_ >= run.at + kCrashAfter;
    });
    if (cause != runs_.end()) {
      // The crash removes the run.
      const Run run = *cause;
      CrashEngine(run.engine, run.harmful);
    }
    for (auto& engine : engines_) {
      if (engine->listed || now_ < engine->ejected_until) continue;
      engine = NewEngine();
    }
  }

  /** @return crashes under the harmful part with most. */
  int most_crashes() const { return *std::ranges::max_element(crashes_); }
  int harmless() const { return harmless_; }
  int harmless_refused() const { return harmless_refused_; }

 private:
  static constexpr Clock::time_point kHarmfulFrom{1h + 5s};

  UpstreamPtr NewEngine() {
    auto engine = std::make_shared<Upstream>();
    engine->entry.id = "i-" + std::to_string(++started_);
    engine->entry.slots = 128;
    return engine;
  }

  Parts HarmlessParts() {
    return {"m/a" + std::to_string(random_() % 40),
            "m/s" + std::to_string(random_() % 155)};
  }

  void Arrive(const std::string& harmful) {
    Run run{.traits = {"w" + std::to_string(++requests_), HarmlessParts()},
            .harmful = harmful,
            .engine = nullptr,
            .at = now_ + kStageTime,
            .run_time = std::chrono::milliseconds(
                200 + random_() % static_cast<uint32_t>(kMaxRunTime.count()))};
    if (!harmful.empty()) {
      if (company_ != Company::kAny) run.traits.parts[0] = "m/a0";
      if (company_ == Company::kOneNeighbour) run.traits.parts[1] = "m/s0";
      run.traits.parts.push_back(harmful);
    } else {
      ++harmless_;
    }
    if (!Refuses(run)) runs_.push_back(std::move(run));
  }

  bool Refuses(const Run& run) {
    const bool refused =
        ledger_.RemainingQuarantine({run.traits, "llm"}, now_).has_value();
    if (refused && run.harmful.empty()) ++harmless_refused_;
    return refused;
  }

  void Send(Run run) {
    if (Refuses(run)) return;
    ChoiceRequest request;
    request.has_prompt = true;
    request.shared_part = run.traits.parts.front();
    request.session_part = run.traits.fingerprint;
    request.shared_ms = 60;
    run.engine = ChooseUpstream(engines_, request, now_);
    if (!run.engine) return;
    run.at = now_ + kPromptTime;
    ++run.engine->in_flight;
    runs_.push_back(std::move(run));
  }

  /** Advances a harmless run. @return true if it has ended. */
  bool Progress(Run& run) {
    if (!run.engine || !run.harmful.empty()) return false;
    const bool ends = now_ >= run.at + run.run_time;
    if (!ends && (run.cleared || now_ < run.at + kClearingRunTime)) {
      return false;
    }
    run.cleared = true;
    ledger_.Record(GoodRun{ends ? run.traits.fingerprint : std::string(), "llm",
                           now_, run.traits.parts});
    if (ends) --run.engine->in_flight;
    return ends;
  }

  void CrashEngine(const UpstreamPtr& engine, const std::string& harmful) {
    ++crashes_[harmful == kHarmful[0] ? 0 : 1];
    engine->listed = false;
    engine->ejected_until = now_ + kEngineRestartTime;
    std::vector<Run> interrupted;
    std::erase_if(runs_, [&](const Run& run) {
      if (run.engine != engine) return false;
      interrupted.push_back(run);
      return true;
    });
    for (Run& run : interrupted) {
      ledger_.Record(Crash{.fingerprint = run.traits.fingerprint,
                           .service = "llm",
                           .upstream = engine->entry.id,
                           .at = now_,
                           .progressed = run.cleared,
                           .parts = run.cleared ? Parts() : run.traits.parts});
    }
    for (Run& run : interrupted) {
      run.engine = nullptr;
      run.cleared = false;
      if (run.harmful.empty() && ++run.sends < 2) Send(std::move(run));
    }
  }

  std::mt19937 random_;
  int harmful_parts_;
  Company company_;
  Clock::time_point now_{1h};
  CrashLedger ledger_;
  std::vector<UpstreamPtr> engines_;
  std::vector<Run> runs_;
  std::array<int, 2> crashes_{};
  int harmless_ = 0;
  int requests_ = 0;
  int started_ = 0;
  int harmless_refused_ = 0;
};

}  // namespace

// Guards against a prompt part that crashes engine after engine, and against
// refusing requests that share its other parts or ran beside it.
TEST_CASE("prompt parts that crash engines are stopped, others are served") {
  // Five crashes, and those by requests that were on engines meanwhile.
  constexpr int kMaxCrashes = 8;
  const Company company =
      GENERATE(Company::kAny, Company::kOneFirstPart, Company::kOneNeighbour);
  int harmless = 0;
  int harmless_refused = 0;
  for (uint32_t seed = 1; seed <= 100; ++seed) {
    const int harmful_parts = 1 + static_cast<int>(seed % 2);
    PartFleet fleet(seed, harmful_parts, company);
    for (int step = 0; step < 4000; ++step) fleet.Step();
    CAPTURE(seed, static_cast<int>(company));
    REQUIRE(fleet.most_crashes() <= kMaxCrashes);
    harmless += fleet.harmless();
    harmless_refused += fleet.harmless_refused();
  }
  CAPTURE(harmless, harmless_refused);
  REQUIRE(harmless_refused * 1000 < harmless);
}
