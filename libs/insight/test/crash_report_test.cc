#include "turmeric/insight/crash_report.h"

#include <catch2/catch.hpp>
#include <string>

using turmeric::insight::CrashReport;
using turmeric::insight::ParseLogLine;

namespace {

std::string BrokenCallLine(const std::string& instance, const std::string& work,
                           const std::string& upstream, int second) {
  return instance + " ts=2026-12-03T01:02:0" + std::to_string(second) +
         ".000 level=INFO event=upstream_broke_off work=" + work +
         " upstream=" + upstream;
}

std::string RequestEndLine(const std::string& work, const std::string& outcome,
                           const std::string& status) {
  return "entry-1 ts=2026-12-03T01:02:09.000 level=INFO event=request_end "
         "status=" +
         status + " outcome=" + outcome + " work=" + work;
}

}  // namespace

// Guards against mixing up requests with different fingerprints: a fingerprint
// that crashes several upstreams must be listed with its own counts only.
TEST_CASE("the report counts upstreams that broke off per fingerprint") {
  CrashReport report;
  for (const std::string& line : {BrokenCallLine("entry-1", "aa", "i-1", 1),
                                  BrokenCallLine("entry-2", "aa", "i-2", 4),
                                  BrokenCallLine("entry-1", "bb", "i-1", 1),
                                  RequestEndLine("aa", "answer_cut", "502"),
                                  RequestEndLine("aa", "quarantined", "503"),
                                  RequestEndLine("bb", "answered", "200")}) {
    report.Add(*ParseLogLine(line));
  }
  const std::string text = report.Render();
  CAPTURE(text);
  REQUIRE(text.find("aa                        2          2       2         0 "
                    "       1     3.0") != std::string::npos);
  REQUIRE(text.find("bb") == std::string::npos);
}

// Guards against requests that are never alike: each crashes one upstream, and
// only the prompt part that they share shows the cause.
TEST_CASE("the report counts upstreams that broke off per prompt part") {
  CrashReport report;
  for (const std::string& line :
       {BrokenCallLine("entry-1", "aa", "i-1", 1) + " parts=llm/dead+llm/s1",
        BrokenCallLine("entry-2", "bb", "i-2", 4) + " parts=llm/dead+llm/s2",
        BrokenCallLine("entry-2", "cc", "i-3", 5) + " parts=-",
        RequestEndLine("aa", "answer_cut", "502") + " parts=llm/dead+llm/s1",
        RequestEndLine("dd", "answered", "200") + " parts=llm/s1"}) {
    report.Add(*ParseLogLine(line));
  }
  const std::string text = report.Render();
  CAPTURE(text);
  REQUIRE(text.find("llm/dead                  2          2       1         0 "
                    "       0     3.0") != std::string::npos);
  REQUIRE(text.find("llm/s1") == std::string::npos);
}
