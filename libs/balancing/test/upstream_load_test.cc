#include "turmeric/balancing/upstream_load.h"

#include <catch2/catch.hpp>
#include <limits>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::balancing::Clock;
using turmeric::balancing::LoadReport;
using turmeric::balancing::SpeedEstimate;
using turmeric::balancing::UpstreamLoad;

namespace {

const Clock::time_point kNow = Clock::time_point(100s);

/** Serves a request in `time` with an answer that reports `report`. */
void Serve(UpstreamLoad& load, std::chrono::milliseconds time,
           LoadReport report) {
  const auto send = load.OnSend(kNow - time);
  report.at = kNow;
  load.OnReport(report);
  load.OnServed(send, 1.0, kNow);
  load.OnEnd(send);
}

}  // namespace

// Guards against an upstream that is taken as slow because requests waited at
// it, or because of other work on its machine that has ended.
TEST_CASE("waiting and pace are not taken as slowness") {
  UpstreamLoad idle;
  UpstreamLoad queued;
  UpstreamLoad paced;
  for (int i = 0; i < 50; ++i) {
    Serve(idle, 100ms, {.running = 0, .waiting = 0, .slots = 2});
    Serve(queued, 300ms, {.running = 2, .waiting = 3, .slots = 2});
    Serve(paced, 250ms, {.slots = 2, .pace = 2.5});
  }
  CHECK(idle.speed().learned() == Approx(100));
  CHECK(queued.speed().learned() == Approx(100));
  CHECK(paced.speed().learned() == Approx(100));
}

// Guards against an upstream that was slow once and is never tried again.
TEST_CASE("without samples, a speed approaches the mean of the service") {
  SpeedEstimate speed;
  for (int i = 0; i < 20; ++i) speed.Add({.ms = 400, .waited = 0}, kNow);
  CHECK(speed.At(100, kNow) == Approx(400));
  CHECK(speed.At(100, kNow + 10s) == Approx(100 + 300 / 2.718).margin(1));
  CHECK(speed.At(100, kNow + 60s) == Approx(100).margin(1));
}

// Guards against choices by a figure that is no longer true.
TEST_CASE("a report fades, and has no weight after a second") {
  UpstreamLoad load;
  load.OnReport(
      {.running = 6, .waiting = 10, .slots = 6, .pace = 3, .at = kNow});
  CHECK(load.Ahead(2, kNow) == Approx(16));
  CHECK(load.ReportWeight(kNow + 300ms) == Approx(1 / 2.718).margin(0.01));
  CHECK(load.ReportWeight(kNow + 1s) == 0);
  CHECK(load.Pace(kNow + 500ms) == Approx(1 + 2 / 2.718).margin(0.01));
  CHECK(load.Pace(kNow + 1s) == 1);
  CHECK(load.Ahead(2, kNow + 60s) == Approx(2).margin(0.1));
}

// Guards against figures that are no number, or that no upstream can have.
TEST_CASE("invalid figures and samples are ignored") {
  UpstreamLoad load;
  load.OnReport({.running = -1, .at = kNow});
  load.OnReport({.waiting = -1, .at = kNow});
  load.OnReport({.slots = 0, .at = kNow});
  load.OnReport({.pace = std::numeric_limits<double>::quiet_NaN(), .at = kNow});
  CHECK_FALSE(load.report());
  load.OnReport({.running = std::numeric_limits<int>::max(),
                 .waiting = std::numeric_limits<int>::max(),
                 .pace = 1e9,
                 .at = kNow});
  CHECK(load.Pace(kNow) == 20);
  CHECK(load.Ahead(0, kNow) > 4e9);
  const auto send = load.OnSend(kNow);
  load.OnServed(send, 0, kNow + 1s);
  load.OnServed(send, std::numeric_limits<double>::infinity(), kNow + 1s);
  CHECK(load.speed().samples() == 0);
}

// Guards against a count of requests in progress that grows without end.
TEST_CASE("each request counts once, from its send to its end") {
  UpstreamLoad load;
  const auto first = load.OnSend(kNow);
  const auto second = load.OnSend(kNow + 50ms);
  CHECK(load.Ahead(0, kNow + 60ms) == 2);
  CHECK(load.OldestUnansweredMs(kNow + 60ms) == Approx(60));
  load.OnServed(first, 1.0, kNow + 60ms);
  CHECK(load.OldestUnansweredMs(kNow + 60ms) == Approx(10));
  load.OnEnd(first);
  load.OnEnd(first);
  load.OnEnd(second);
  CHECK(load.open_sends() == 0);
}

// Guards against a log line for each answer.
TEST_CASE("a change of the speed is told once") {
  UpstreamLoad load;
  for (int i = 0; i < 20; ++i) Serve(load, 100ms, {.slots = 2});
  CHECK_FALSE(load.TakeSpeedChange(kNow));
  Serve(load, 300ms, {.slots = 2, .pace = 3});
  const auto change = load.TakeSpeedChange(kNow);
  REQUIRE(change);
  CHECK(change->after == Approx(3 * change->before));
  CHECK_FALSE(load.TakeSpeedChange(kNow));
}
