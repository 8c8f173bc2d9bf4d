#include "turmeric/insight/log_event.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::insight::ParseLogLine;

TEST_CASE("a log line is parsed after any prefix added by a log collector") {
  const auto event = ParseLogLine(
      "  0.05 entry-3 ts=2026-12-03T01:02:03.004 level=INFO event=request_end "
      "request=a75c route=r1 status=200 ms=33");
  REQUIRE(event);
  REQUIRE(event->at == 1h + 2min + 3s + 4ms);
  REQUIRE(event->name == "request_end");
  REQUIRE(event->Text("request") == "a75c");
  REQUIRE(event->Number("ms") == 33);
  REQUIRE(event->Number("request", -1) == -1);
  REQUIRE(event->Text("none").empty());
}

TEST_CASE("lines without a timestamp or an event name are ignored") {
  REQUIRE_FALSE(ParseLogLine(""));
  REQUIRE_FALSE(ParseLogLine("stages: 12 calls"));
  REQUIRE_FALSE(ParseLogLine("ts=yesterday event=x"));
  REQUIRE_FALSE(ParseLogLine("ts=2026-12-03T01:02:03.004 level=INFO"));
}

TEST_CASE("arbitrary input does not crash the parser") {
  REQUIRE(rc::check("any text", [](const std::string& text) {
    ParseLogLine(text);
    ParseLogLine("ts=2026-12-03T01:02:03.004 " + text);
    ParseLogLine("ts=" + text + "T" + text);
  }));
}
