#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "turmeric/routing/choice.h"
#include "turmeric/routing/placement_tracker.h"
#include "turmeric/routing/prompt_memory.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::routing::ChoiceRequest;
using turmeric::routing::ChooseUpstream;
using turmeric::routing::Clock;
using turmeric::routing::PlacementTracker;
using turmeric::routing::PromptMemory;
using turmeric::routing::UncachedPromptMs;
using turmeric::routing::Upstream;
using turmeric::routing::UpstreamPtr;

namespace {

const Clock::time_point kNow = Clock::time_point(100s);

std::vector<UpstreamPtr> Engines(size_t count) {
  std::vector<UpstreamPtr> engines;
  for (size_t i = 0; i < count; ++i) {
    auto engine = std::make_shared<Upstream>();
    engine->entry.id = "i-" + std::to_string(i);
    engine->entry.service = "llm";
    engines.push_back(std::move(engine));
  }
  return engines;
}

/** Simulates many instances that place requests on engines, which read prompts
 * one after the other. */
class EngineReplay {
 public:
  static constexpr size_t kEngines = 60;
  static constexpr size_t kInstances = 61;
  static constexpr double kSessionMs = 85;
  static constexpr double kSharedMs = 57;
  static constexpr double kOwnMs = 65;
  /** Requests per millisecond: a burst that uses two thirds of the engines'
   * time. */
  static constexpr double kPerMs = 0.35;

  /** @param one_owner true: one owner places the requests of all instances;
   * false: each instance places its own.
   * @return 90th percentile of the waiting time, ms. */
  double WaitP90Ms(bool one_owner) {
    std::mt19937_64 random(7);
    const size_t views = one_owner ? 1 : kInstances;
    std::vector<std::vector<UpstreamPtr>> view;
    for (size_t i = 0; i < views; ++i) view.push_back(Engines(kEngines));
    std::vector<double> free_at(kEngines, 0);
    std::vector<PromptMemory> read(kEngines);  // The engines' actual content.
    PromptMemory memory;
    struct Open {
      double until;
      UpstreamPtr engine;
      double ms;
    };
    std::vector<Open> open;
    std::vector<double> waits;
    double now = 0;
    for (int n = 0; n < 12000; ++n) {
      now += std::exponential_distribution<double>(kPerMs)(random);
      std::erase_if(open, [&](const Open& o) {
        if (o.until > now) return false;
        AddLoad(*o.engine, one_owner, -o.ms);
        return true;
      });
      const std::string shared = "shared" + std::to_string(random() % 4);
      const std::string session = "session" + std::to_string(random() % 1000);
      const auto& engines = view[random() % views];
      ChoiceRequest request;
      request.has_prompt = true;
      request.shared_part = shared;
      request.session_part = session;
      request.shared_ms = kSharedMs;
      request.session_ms = kSessionMs;
      request.memory = one_owner ? &memory : nullptr;
      const UpstreamPtr engine = ChooseUpstream(engines, request, kNow);
      const size_t at = std::stoul(engine->entry.id.substr(2));
      const std::string& id = engine->entry.id;
      const double ms = kOwnMs + (read[at].Holds(id, shared) ? 0 : kSharedMs) +
                        (read[at].Holds(id, session) ? 0 : kSessionMs);
      for (PromptMemory* held : {&read[at], &memory}) {
        held->Note(id, shared, 2500, 185000);
        held->Note(id, session, 3800, 185000);
      }
      free_at[at] = std::max(free_at[at], now) + ms;
      waits.push_back(free_at[at] - now);
      AddLoad(*engine, one_owner, ms);
      open.push_back({free_at[at], engine, ms});
    }
    std::ranges::sort(waits);
    return waits[waits.size() * 9 / 10];
  }

 private:
  static void AddLoad(Upstream& engine, bool one_owner, double ms) {
    const int one = ms > 0 ? 1 : -1;
    if (one_owner) {
      engine.placed_prompt_ms += ms;
      engine.placed += one;
    } else {
      engine.pending_prompt_ms += ms;
      engine.in_flight += one;
    }
  }
};

}  // namespace

// Guards against overloaded engines next to idle ones: if each of sixty
// instances places requests by its own load only, a sixtieth of the total, many
// choose the same engines, and callers wait there for a second while most
// engines are idle. With one owner that places every request, hardly any
// request waits for another.
TEST_CASE("one owner spreads requests better than uncoordinated instances") {
  const double uncoordinated = EngineReplay().WaitP90Ms(false);
  const double placed = EngineReplay().WaitP90Ms(true);
  CAPTURE(uncoordinated, placed);
  REQUIRE(placed < 250);
  REQUIRE(uncoordinated > 2 * placed);
}

TEST_CASE("a placement counts as load until its end is reported") {
  const auto engines = Engines(1);
  Upstream& engine = *engines[0];
  {
    PlacementTracker tracker;
    tracker.Add(1, engines[0], 200, kNow);
    tracker.Add(2, engines[0], 100, kNow);
    REQUIRE(engine.placed == 2);
    REQUIRE(engine.placed_prompt_ms == Approx(300));
    tracker.PromptRead(1);
    tracker.PromptRead(1);
    REQUIRE(engine.placed_prompt_ms == Approx(100));
    tracker.End(1);
    tracker.End(1);
    tracker.End(77);
    REQUIRE(engine.placed == 1);
    tracker.Add(2, engines[0], 50, kNow);  // Replaces the same ticket.
    REQUIRE(engine.placed_prompt_ms == Approx(50));
  }
  // The connection to the instance has closed, which destroys the tracker.
  REQUIRE(engine.placed == 0);
  REQUIRE(engine.placed_prompt_ms == Approx(0));
}

// Guards against placements that count as load for ever because the frame that
// reports their end was lost with its connection: the engine would seem loaded
// and receive less than its share.
TEST_CASE("placements whose end was never reported expire") {
  const auto engines = Engines(1);
  PlacementTracker tracker;
  tracker.Add(1, engines[0], 200, kNow);
  tracker.Expire(kNow + 20s);
  REQUIRE(engines[0]->placed == 1);
  tracker.Expire(kNow + 31s);
  REQUIRE(engines[0]->placed == 0);
  REQUIRE(tracker.size() == 0);
}

TEST_CASE("the most recently used parts are kept, within the engine's memory") {
  PromptMemory memory;
  memory.Note("i", "a", 400, 1000);
  memory.Note("i", "b", 400, 1000);
  memory.Note("i", "a", 400, 1000);
  memory.Note("i", "c", 400, 1000);
  REQUIRE(memory.Holds("i", "a"));
  REQUIRE(memory.Holds("i", "c"));
  REQUIRE_FALSE(memory.Holds("i", "b"));
  REQUIRE_FALSE(memory.Holds("j", "a"));
  memory.Note("i", "", 400, 1000);
  REQUIRE(memory.size() == 2);
  memory.RemoveEngine("i");
  REQUIRE_FALSE(memory.Holds("i", "a"));
}

// Guards against callers that fill this process's memory with arbitrary part
// ids.
TEST_CASE("the number of parts recorded for one engine is bounded") {
  PromptMemory memory;
  for (int i = 0; i < 5000; ++i) {
    memory.Note("i", std::to_string(i), 1, 1 << 30);
  }
  REQUIRE(memory.size() <= 2000);
}

TEST_CASE("an engine that holds the parts is preferred until it is loaded") {
  const auto engines = Engines(3);
  PromptMemory memory;
  memory.Note("i-1", "shared", 2500, 185000);
  memory.Note("i-1", "session", 3800, 185000);
  ChoiceRequest request;
  request.has_prompt = true;
  request.shared_part = "shared";
  request.session_part = "session";
  request.shared_ms = 50;
  request.session_ms = 80;
  request.memory = &memory;
  REQUIRE(ChooseUpstream(engines, request, kNow) == engines[1]);
  engines[1]->placed_prompt_ms = 600;
  REQUIRE(ChooseUpstream(engines, request, kNow) != engines[1]);
}

TEST_CASE("a held part saves time only if the parts before it are held too") {
  const auto engines = Engines(1);
  PromptMemory memory;
  ChoiceRequest request;
  request.shared_part = "shared";
  request.session_part = "session";
  request.shared_ms = 50;
  request.session_ms = 80;
  REQUIRE(UncachedPromptMs(request, *engines[0]) == Approx(130));
  request.memory = &memory;
  memory.Note("i-0", "session", 3800, 185000);
  REQUIRE(UncachedPromptMs(request, *engines[0]) == Approx(130));
  memory.Note("i-0", "shared", 2500, 185000);
  REQUIRE(UncachedPromptMs(request, *engines[0]) == Approx(0));
  request.session_part = "other";
  REQUIRE(UncachedPromptMs(request, *engines[0]) == Approx(80));
}

// Guards against engines reading all prompts again after the owner of a cell
// restarts with an empty prompt memory.
TEST_CASE("a new owner places most sessions as the previous owner did") {
  constexpr int kSessions = 400;
  const auto engines = Engines(60);
  PromptMemory memory;
  PromptMemory fresh;
  int found = 0;
  for (int i = 0; i < kSessions; ++i) {
    const std::string shared = "shared" + std::to_string(i % 4);
    const std::string session = "session" + std::to_string(i);
    ChoiceRequest request;
    request.has_prompt = true;
    request.shared_part = shared;
    request.session_part = session;
    request.shared_ms = 50;
    request.session_ms = 80;
    const auto place = [&](PromptMemory& known) {
      request.memory = &known;
      const UpstreamPtr engine = ChooseUpstream(engines, request, kNow);
      known.Note(engine->entry.id, shared, 2500, 185000);
      known.Note(engine->entry.id, session, 3800, 185000);
      return engine;
    };
    // For one session in six, one engine is busy reading: a different engine
    // for each owner.
    engines[i % 60]->placed_prompt_ms = i % 6 == 0 ? 90 : 0;
    const UpstreamPtr before = place(memory);
    engines[i % 60]->placed_prompt_ms = 0;
    engines[(i + 7) % 60]->placed_prompt_ms = i % 6 == 0 ? 90 : 0;
    if (place(fresh) == before) ++found;
    engines[(i + 7) % 60]->placed_prompt_ms = 0;
  }
  REQUIRE(found > kSessions * 3 / 4);
}
