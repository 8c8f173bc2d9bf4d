#include "engine_simulation.h"

#include <algorithm>
#include <deque>
#include <list>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>

#include "turmeric/engines/engine_room.h"
#include "turmeric/routing/choice.h"
#include "turmeric/routing/placement_tracker.h"
#include "turmeric/routing/prompt_memory.h"

namespace turmeric::engines {

namespace {

using routing::Clock;
using routing::UpstreamPtr;

constexpr double kStepMs = 5;
/** Rate at which the engines read prompts, tokens per ms. */
constexpr double kTokensPerMs = 32.4;
/** Rate that the placement assumes. */
constexpr double kAssumedTokensPerMs = 38;

struct Request {
  uint64_t ticket = 0;
  const SimulatedClass* kind = nullptr;
  std::string shared;
  std::string session;
  double arrived_ms = 0;
  int64_t output = 0;    ///< Tokens.
  int64_t produced = 0;  ///< Tokens, so far.
  double left_to_read = 0;
  bool reading = false;
  double begun_ms = -1;  ///< Start of the output; -1: prompt not read yet.
  bool counted = false;
};

/** Prompt parts, evicted in the order of their last use, and requests. */
class Engine {
 public:
  std::deque<Request> waiting;
  std::list<Request> running;  ///< The newest last.

  bool Holds(const std::string& part) const { return parts_.contains(part); }
  void Use(const std::string& part, int tokens, uint64_t order) {
    auto& held = parts_[part];
    if (held.tokens == 0) part_tokens_ += held.tokens = tokens;
    held.used = order;
    ++held.open;
  }
  void Leave(const std::string& part) { --parts_[part].open; }
  /** Evicts unused parts. @return true if `needed` tokens are free. */
  bool Free(int64_t needed, int64_t capacity) {
    while (part_tokens_ + own + needed > capacity) {
      auto oldest = parts_.end();
      for (auto it = parts_.begin(); it != parts_.end(); ++it) {
        if (it->second.open > 0) continue;
        if (oldest == parts_.end() || it->second.used < oldest->second.used) {
          oldest = it;
        }
      }
      if (oldest == parts_.end()) return false;
      part_tokens_ -= oldest->second.tokens;
      parts_.erase(oldest);
    }
    return true;
  }
  int64_t own = 0;  ///< Tokens of running requests alone.

 private:
  struct Part {
    int tokens = 0;
    int open = 0;
    uint64_t used = 0;
  };
  std::unordered_map<std::string, Part> parts_;
  int64_t part_tokens_ = 0;
};

class Simulation {
 public:
  Simulation(const SimulatedLoad& load, SimulatedPlacement placement)
      : load_(load),
        placement_(placement),
        engines_(load.engines),
        random_(load.seed) {
    for (size_t i = 0; i < load.engines; ++i) {
      auto engine = std::make_shared<routing::Upstream>();
      engine->entry.id = "i-" + std::to_string(i);
      engine->entry.service = "llm";
      index_[engine->entry.id] = i;
      upstreams_.push_back(std::move(engine));
    }
    tracker_ = std::make_unique<routing::PlacementTracker>();
  }

  SimulatedResult Run() {
    bool changed = load_.owner_changes_at == 0;
    for (; now_ms_ < load_.seconds * 1000; now_ms_ += kStepMs) {
      if (!changed && now_ms_ >= load_.owner_changes_at * 1000) {
        changed = true;
        tracker_ = std::make_unique<routing::PlacementTracker>();
        memory_ = {};
        room_ = {};
      }
      for (const SimulatedClass& kind : load_.classes) {
        std::poisson_distribution<int> arrivals(kind.per_s * kStepMs / 1000);
        for (int n = arrivals(random_); n > 0; --n) Arrive(kind);
      }
      for (Engine& engine : engines_) Step(engine);
    }
    std::ranges::sort(waits_);
    std::ranges::sort(first_tokens_);
    const auto mean = [](const std::vector<double>& v) {
      double sum = 0;
      for (const double x : v) sum += x;
      return sum / static_cast<double>(std::max<size_t>(1, v.size()));
    };
    const auto p95 = [](const std::vector<double>& v) {
      return v.empty() ? 0 : v[v.size() * 95 / 100];
    };
    result_.wait_ms = mean(waits_);
    result_.wait_p95_ms = p95(waits_);
    result_.first_token_ms = mean(first_tokens_);
    result_.first_token_p95_ms = p95(first_tokens_);
    return result_;
  }

 private:
  Clock::time_point Now() const {
    return Clock::time_point(std::chrono::microseconds(
        1'000'000'000 + static_cast<int64_t>(now_ms_ * 1000)));
  }

  void Arrive(const SimulatedClass& kind) {
    Request r;
    r.ticket = ++result_.requests;
    r.kind = &kind;
    r.arrived_ms = now_ms_;
    const std::string name = std::to_string(&kind - load_.classes.data());
    const auto session =
        static_cast<int>(random_() % static_cast<uint64_t>(kind.sessions));
    r.shared = name + "/" + std::to_string(session % kind.shared_parts);
    r.session = name + "-" + std::to_string(session);
    const double factor =
        kind.output_factors[random_() % kind.output_factors.size()];
    r.output = static_cast<int64_t>(kind.output_tokens * factor);
    const UpstreamPtr engine = Place(r);
    engines_[index_.at(engine->entry.id)].waiting.push_back(std::move(r));
  }

  UpstreamPtr Place(const Request& r) {
    const SimulatedClass& kind = *r.kind;
    routing::ChoiceRequest choice;
    choice.has_prompt = true;
    choice.shared_part = r.shared;
    choice.session_part = r.session;
    choice.shared_ms = kind.shared_tokens / kAssumedTokensPerMs;
    choice.session_ms = kind.session_tokens / kAssumedTokensPerMs;
    choice.memory = &memory_;
    const TokenDemand demand = {
        .shared_part = r.shared,
        .session_part = r.session,
        .shared_tokens = kind.shared_tokens,
        .session_tokens = kind.session_tokens,
        .own_tokens = kind.own_tokens + kind.output_tokens};
    const bool by_room = placement_ == SimulatedPlacement::kByRoom;
    if (by_room) {
      choice.small_groups = true;
      choice.memory_use = {.room = &room_,
                           .demand = demand,
                           .capacity = load_.capacity,
                           .ms_per_token = 1 / kAssumedTokensPerMs};
    }
    const UpstreamPtr engine = ChooseUpstream(upstreams_, choice, Now());
    const std::string& id = engine->entry.id;
    const double ms = kind.own_tokens / kAssumedTokensPerMs +
                      UncachedPromptMs(choice, *engine);
    tracker_->Add(r.ticket, engine, ms, Now(),
                  by_room ? room_.Reserve(id, demand) : Reservation());
    const int64_t limit =
        by_room ? load_.capacity - room_.Own(id) : load_.capacity / 2;
    memory_.Note(id, r.shared, kind.shared_tokens, limit, Now());
    memory_.Note(id, r.session, kind.session_tokens, limit, Now());
    return engine;
  }

  int64_t ReadPart(Engine& engine, const std::string& part, int tokens) {
    const bool held = engine.Holds(part);
    engine.Use(part, tokens, ++order_);
    if (held) return 0;
    if (!read_.insert(part).second) result_.read_again += tokens;
    return tokens;
  }

  /** Admits the first waiting request. @return false if it has no room. */
  bool Admit(Engine& engine) {
    Request& r = engine.waiting.front();
    const SimulatedClass& kind = *r.kind;
    int64_t needed = kind.own_tokens + r.produced;
    if (!engine.Holds(r.shared)) needed += kind.shared_tokens;
    if (!engine.Holds(r.session)) needed += kind.session_tokens;
    if (!engine.Free(needed, load_.capacity)) return false;
    r.left_to_read = static_cast<double>(kind.own_tokens + r.produced);
    const bool shared_held = engine.Holds(r.shared);
    int64_t read = ReadPart(engine, r.shared, kind.shared_tokens);
    const bool session_held = engine.Holds(r.session);
    read += ReadPart(engine, r.session, kind.session_tokens);
    if (!shared_held && session_held) {
      read += kind.session_tokens;
      result_.read_again += kind.session_tokens;
    }
    r.left_to_read += static_cast<double>(read);
    r.reading = true;
    engine.own += kind.own_tokens + r.produced;
    if (!r.counted) waits_.push_back(now_ms_ - r.arrived_ms);
    return true;
  }

  void ReadPrompts(Engine& engine) {
    double budget = kStepMs * kTokensPerMs;
    while (budget > 0 && !engine.waiting.empty()) {
      Request& r = engine.waiting.front();
      if (!r.reading && !Admit(engine)) return;
      const double part = std::min(budget, r.left_to_read);
      budget -= part;
      r.left_to_read -= part;
      if (r.left_to_read > 0) return;
      r.begun_ms = now_ms_ + kStepMs;
      if (!r.counted) first_tokens_.push_back(r.begun_ms - r.arrived_ms);
      r.counted = true;
      tracker_->PromptRead(r.ticket);
      engine.running.push_back(std::move(r));
      engine.waiting.pop_front();
    }
  }

  void Release(Engine& engine, const Request& r) {
    engine.own -= r.kind->own_tokens + r.produced;
    engine.Leave(r.shared);
    engine.Leave(r.session);
  }

  void Step(Engine& engine) {
    ReadPrompts(engine);
    for (auto it = engine.running.begin(); it != engine.running.end();) {
      const double rate = it->kind->output_tokens / it->kind->ms;
      const int64_t made = std::min(
          it->output - it->produced,
          static_cast<int64_t>((now_ms_ + kStepMs - it->begun_ms) * rate));
      it->produced += made;
      it->begun_ms += static_cast<double>(made) / rate;
      engine.own += made;
      if (it->produced < it->output) {
        ++it;
        continue;
      }
      Release(engine, *it);
      tracker_->End(it->ticket);
      it = engine.running.erase(it);
    }
    while (!engine.Free(0, load_.capacity) && engine.running.size() > 1) {
      Request newest = std::move(engine.running.back());
      engine.running.pop_back();
      Release(engine, newest);
      newest.reading = false;
      ++result_.preempted;
      // Behind a request whose prompt is being read.
      const bool busy =
          !engine.waiting.empty() && engine.waiting.front().reading;
      engine.waiting.insert(engine.waiting.begin() + (busy ? 1 : 0),
                            std::move(newest));
    }
  }

  const SimulatedLoad& load_;
  SimulatedPlacement placement_;
  std::vector<Engine> engines_;
  std::vector<UpstreamPtr> upstreams_;
  std::unordered_map<std::string, size_t> index_;
  routing::PromptMemory memory_;
  EngineRoom room_;
  std::unique_ptr<routing::PlacementTracker> tracker_;
  std::mt19937_64 random_;
  std::set<std::string> read_;
  std::vector<double> waits_;
  std::vector<double> first_tokens_;
  uint64_t order_ = 0;
  double now_ms_ = 0;
  SimulatedResult result_;
};

}  // namespace

SimulatedResult Simulate(const SimulatedLoad& load,
                         SimulatedPlacement placement) {
  return Simulation(load, placement).Run();
}

}  // namespace turmeric::engines
