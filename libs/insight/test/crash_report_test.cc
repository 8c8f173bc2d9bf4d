#include "turmeric/insight/crash_report.h"

#include <catch2/catch.hpp>
#include <string>

using turmeric::insight::CrashReport;
using turmeric::insight::ParseLogLine;

namespace {

std::string Break(const std::string& instance, const std::string& work,
                  const std::string& upstream, int second) {
  return instance + " ts=2026-12-03T01:02:0" + std::to_string(second) +
         ".000 level=INFO event=upstream_broke_off work=" + work +
         " upstream=" + upstream;
}

std::string End(const std::string& work, const std::string& outcome,
                const std::string& status) {
  return "entry-1 ts=2026-12-03T01:02:09.000 level=INFO event=request_end "
         "status=" +
         status + " outcome=" + outcome + " work=" + work;
}

}  // namespace

// Guards against copies of one request that cannot be told from others.
TEST_CASE("the report counts the upstreams that broke off under one work") {
  CrashReport report;
  for (const std::string& line :
       {Break("entry-1", "aa", "i-1", 1), Break("entry-2", "aa", "i-2", 4),
        Break("entry-1", "bb", "i-1", 1), End("aa", "answer_cut", "502"),
        End("aa", "quarantined", "503"), End("bb", "answered", "200")}) {
    report.Add(*ParseLogLine(line));
  }
  const std::string text = report.Render();
  CAPTURE(text);
  REQUIRE(text.find("aa                        2          2       2         0 "
                    "       1     3.0") != std::string::npos);
  REQUIRE(text.find("bb") == std::string::npos);
}
