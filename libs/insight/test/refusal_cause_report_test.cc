#include "turmeric/insight/refusal_cause_report.h"

#include <catch2/catch.hpp>
#include <string>

#include "turmeric/insight/request_outcome_report.h"

using turmeric::insight::ParseLogLine;
using turmeric::insight::RefusalCauseReport;

namespace {

void Add(RefusalCauseReport& report, const std::string& rest) {
  report.Add(*ParseLogLine("entry-1 ts=2026-12-03T01:02:03.004 " + rest));
}

bool Has(const std::string& text, const std::string& part) {
  CAPTURE(text, part);
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("a refusal over a share is given without the organisation") {
  RefusalCauseReport report;
  Add(report, "event=request_end route=r1 status=503 outcome=over_share");
  Add(report, "event=request_end route=r1 status=503 outcome=over_share");
  for (const char* figures :
       {"demand=48.5 level=12 fraction=0.25 plan_age_ms=9",
        "demand=40 level=12 fraction=0.3 plan_age_ms=7"}) {
    Add(report, "event=share_exceeded service=app organisation=big " +
                    std::string(figures));
  }
  const std::string text = report.Render();
  REQUIRE(Has(text, "route r1  refused 2"));
  REQUIRE(Has(text,
              "service app  organisation big  demand 40 to 48.5  level 12  "
              "admitted 0.25 to 0.3  age of the plan 7 to 9 ms  lines 2"));
  REQUIRE_FALSE(Has(text, "memory full"));
}

TEST_CASE("a refusal by the memory bound is given without the bound") {
  RefusalCauseReport report;
  Add(report, "event=request_end route=r1 status=503 outcome=memory_full");
  Add(report, "event=memory_pressure level=high held=25165824 bound=33554432");
  Add(report, "event=memory_pressure level=full held=33554432 bound=33554432");
  const std::string text = report.Render();
  REQUIRE(Has(text, "instance entry-1  refused 1"));
  REQUIRE(Has(text,
              "instance entry-1  bound 33554432  held 25165824 to 33554432  "
              "full: 1  high: 1"));
}

TEST_CASE("turmericctl explain leaves the causes of refusals out") {
  turmeric::insight::RequestOutcomeReport report;
  report.Add(
      *ParseLogLine("ts=2026-12-03T01:02:03.004 event=share_exceeded "
                    "service=app organisation= demand=x"));
  REQUIRE(Has(report.Render(), "organisation -  demand 0"));
  REQUIRE(RefusalCauseReport().Render().empty());
}
