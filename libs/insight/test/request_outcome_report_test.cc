#include "turmeric/insight/request_outcome_report.h"

#include <catch2/catch.hpp>
#include <string>

using turmeric::insight::DelayCause;
using turmeric::insight::FindDelayCause;
using turmeric::insight::LogEvent;
using turmeric::insight::ParseLogLine;
using turmeric::insight::RequestOutcomeReport;

namespace {

LogEvent Event(const std::string& rest) {
  return *ParseLogLine("ts=2026-12-03T01:02:03.004 level=INFO " + rest);
}

}  // namespace

TEST_CASE(
    "a late answer is attributed to the phase that took most of its time") {
  REQUIRE(FindDelayCause(Event("event=request_end used_ms=0 stages_ms=300 "
                               "first_ms=1500 ms=1600")) ==
          DelayCause::kUpstream);
  REQUIRE(FindDelayCause(Event("event=request_end used_ms=0 stages_ms=1300 "
                               "first_ms=1500 ms=1600")) ==
          DelayCause::kStages);
  REQUIRE(FindDelayCause(Event("event=request_end used_ms=1900 stages_ms=300 "
                               "first_ms=900 ms=950")) ==
          DelayCause::kEarlierAttempts);
  REQUIRE(FindDelayCause(Event("event=request_end used_ms=0 stages_ms=-1 "
                               "first_ms=-1 ms=900")) == DelayCause::kUpstream);
}

TEST_CASE("the report shows service utilisation and request outcomes") {
  RequestOutcomeReport report;
  report.Add(
      Event("event=stage_call_done service=portal upstream=i-1 pieces=4 "
            "batch=8 waiting=10 ms=1000"));
  report.Add(
      Event("event=stage_call_done service=portal upstream=i-1 pieces=8 "
            "batch=8 waiting=20 ms=1000"));
  report.Add(
      Event("event=request_end route=r1 status=200 outcome=answered "
            "target_ms=1000 used_ms=0 stages_ms=300 first_ms=900 "
            "ms=5000"));
  report.Add(
      Event("event=request_end route=r1 status=200 outcome=answered "
            "target_ms=1000 used_ms=0 stages_ms=1200 first_ms=1400 "
            "ms=1500"));
  report.Add(
      Event("event=request_end route=r1 status=503 "
            "outcome=stage_failed target_ms=1000"));
  report.Add(Event("event=started"));
  const std::string text = report.Render();
  CAPTURE(text);
  REQUIRE(text.find("portal, 1 upstreams") != std::string::npos);
  REQUIRE(text.find("busy 1.00  fill 0.75  waiting 15  calls 2") !=
          std::string::npos);
  REQUIRE(text.find("r1  requests 3  in target 0.333") != std::string::npos);
  REQUIRE(text.find("late by stages: 1") != std::string::npos);
  REQUIRE(text.find("503 stage_failed: 1") != std::string::npos);
}

TEST_CASE("an empty log gives an empty report") {
  REQUIRE(RequestOutcomeReport().Render().find("stage services") == 0);
}
