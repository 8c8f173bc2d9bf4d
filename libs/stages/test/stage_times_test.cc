#include "turmeric/stages/stage_times.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "turmeric/stages/piece_queue.h"

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using turmeric::stages::Clock;
using turmeric::stages::Piece;
using turmeric::stages::PieceQueue;
using turmeric::stages::QueuedPiece;
using turmeric::stages::StageTimes;

namespace {

constexpr milliseconds kTarget = 2000ms;
constexpr milliseconds kLimit = 6000ms;

/** One simulated stage service that runs `upstreams` calls at a time. */
struct Service {
  std::string name;
  int upstreams;
  int batch;
  milliseconds call;
  milliseconds piece;

  milliseconds CallTime(int pieces) const { return call + piece * pieces; }
};

/** Three stages in a chain; the last serves about 200 requests per second. */
const std::array<Service, 3> kChain{Service{"portal", 4, 16, 200ms, 11ms},
                                    Service{"billing", 4, 16, 200ms, 10ms},
                                    Service{"registry", 4, 16, 200ms, 8ms}};

using Estimate = std::function<milliseconds(const std::string& service)>;
using Note = std::function<void(const std::string& service, milliseconds,
                                bool could_be_in_time)>;

struct Outcome {
  int requests = 0;
  int in_time = 0;
};

/** Simulates the stages of kChain for requests that arrive at random, on
 * average `per_s` per second for 30 s. */
class Replay {
 public:
  Replay(double per_s, Estimate estimate, Note note)
      : estimate_(std::move(estimate)), note_(std::move(note)) {
    std::mt19937_64 engine(7);
    std::exponential_distribution<double> gap(per_s);
    for (double at = gap(engine); at < 30; at += gap(engine)) {
      arrivals_.push_back(
          Clock::time_point(milliseconds(static_cast<int64_t>(at * 1000) + 1)));
    }
  }

  Outcome Run() {
    size_t next = 0;
    for (now_ = Clock::time_point(0s); now_ < Clock::time_point(40s);
         now_ += 5ms) {
      while (next < arrivals_.size() && arrivals_[next] <= now_) {
        Submit(next++, 0);
      }
      EndCalls();
      for (size_t s = 0; s < kChain.size(); ++s) StartCalls(s);
    }
    return {.requests = static_cast<int>(arrivals_.size()),
            .in_time = in_time_};
  }

 private:
  struct Call {
    size_t stage;
    Clock::time_point ends;
    std::vector<QueuedPiece> pieces;
  };

  void Submit(size_t request, size_t stage) {
    milliseconds rest{0};
    for (size_t s = stage + 1; s < kChain.size(); ++s) {
      rest += estimate_(kChain[s].name);
    }
    Piece piece;
    piece.request_id = std::to_string(request);
    piece.due = arrivals_[request] + kTarget - rest;
    piece.deadline = arrivals_[request] + kLimit - rest;
    submitted_[{request, stage}] = {now_, now_ < piece.due};
    queues_[stage].Push(std::move(piece), {});
  }

  void StartCalls(size_t stage) {
    const Service& service = kChain[stage];
    queues_[stage].TakeInfeasible(service.CallTime(1), now_);
    while (busy_[stage] < service.upstreams) {
      auto pieces = queues_[stage].TakeCall(
          {.pieces = service.batch,
           .result_memory_bytes = 1 << 20,
           .other_zones = {},
           .backed_up = {},
           .zone = "",
           .call_time = service.CallTime(service.batch)},
          now_);
      if (pieces.empty()) return;
      ++busy_[stage];
      const auto ends =
          now_ + service.CallTime(static_cast<int>(pieces.size()));
      calls_.push_back({stage, ends, std::move(pieces)});
    }
  }

  void EndCalls() {
    std::vector<Call> ended;
    std::erase_if(calls_, [&](Call& call) {
      if (call.ends > now_) return false;
      ended.push_back(std::move(call));
      return true;
    });
    for (const Call& call : ended) {
      --busy_[call.stage];
      for (const QueuedPiece& q : call.pieces) OnDone(q, call.stage);
    }
  }

  void OnDone(const QueuedPiece& q, size_t stage) {
    const size_t request = std::stoul(q.piece.request_id);
    const auto& [at, could_be_in_time] = submitted_[{request, stage}];
    note_(kChain[stage].name,
          std::chrono::duration_cast<milliseconds>(now_ - at),
          could_be_in_time);
    if (stage + 1 < kChain.size()) return Submit(request, stage + 1);
    if (now_ <= arrivals_[request] + kTarget) ++in_time_;
  }

  Estimate estimate_;
  Note note_;
  std::vector<Clock::time_point> arrivals_;
  std::map<std::pair<size_t, size_t>, std::pair<Clock::time_point, bool>>
      submitted_;
  std::array<PieceQueue, 3> queues_;
  std::array<int, 3> busy_{};
  std::vector<Call> calls_;
  Clock::time_point now_;
  int in_time_ = 0;
};

Outcome WithFixedEstimate(double per_s) {
  return Replay(
             per_s, [](const std::string&) { return 300ms; },
             [](const std::string&, milliseconds, bool) {})
      .Run();
}

Outcome WithMeasuredTimes(double per_s) {
  StageTimes times;
  return Replay(
             per_s,
             [&](const std::string& service) {
               return times.Expected(service);
             },
             [&](const std::string& service, milliseconds took, bool in_time) {
               times.Note(service, took, in_time);
             })
      .Run();
}

}  // namespace

// Guards against nearly all answers being late under sustained overload: with a
// fixed estimate, each request passes the first stages with seemingly enough
// time and then waits at the last, and nearly all answers are a little late,
// although most could be in time. The last service can serve about 5,700
// requests in the 30 s.
TEST_CASE("under sustained overload, most requests that can be in time are") {
  const double overload = GENERATE(200.0, 260.0);
  const Outcome fixed = WithFixedEstimate(overload);
  const Outcome measured = WithMeasuredTimes(overload);
  CAPTURE(overload, fixed.requests, fixed.in_time, measured.in_time);
  REQUIRE(measured.in_time > fixed.in_time);
  REQUIRE(measured.in_time > 5000);
}

TEST_CASE("without overload, measured durations match a fixed estimate") {
  const double load = GENERATE(100.0, 170.0);
  const Outcome fixed = WithFixedEstimate(load);
  const Outcome measured = WithMeasuredTimes(load);
  CAPTURE(load, measured.requests, measured.in_time);
  REQUIRE(measured.in_time >= fixed.in_time);
  REQUIRE(measured.in_time >= measured.requests * 99 / 100);
}

// Guards against an estimate that stays long after an overload, so that no
// request can be in time by the plan: all would count as late, be refused early
// or be served in the wrong order, although stages take 300 ms again.
TEST_CASE("the estimate recovers after an overload") {
  StageTimes times;
  for (int i = 0; i < 60; ++i) times.Note("registry", 2500ms, true);
  REQUIRE(times.Expected("registry") > 2000ms);
  for (int i = 0; i < 60; ++i) times.Note("registry", 300ms, false);
  REQUIRE(times.Expected("registry") < 320ms);
}

TEST_CASE("long durations of late requests do not change the estimate") {
  StageTimes times;
  for (int i = 0; i < 60; ++i) times.Note("registry", 4000ms, false);
  REQUIRE(times.Expected("registry") == 300ms);
}

TEST_CASE("the estimate follows the duration of stages") {
  StageTimes times;
  REQUIRE(times.Expected("registry") == 300ms);
  for (int i = 0; i < 60; ++i) times.Note("registry", 900ms, true);
  REQUIRE(times.Expected("registry") > 890ms);
  REQUIRE(times.Expected("registry") <= 900ms);
  REQUIRE(times.Expected("billing") == 300ms);
}
