#include "turmeric/entry/event_splitter.h"

#include <catch2/catch.hpp>
#include <string>

using turmeric::entry::EventSplitter;

TEST_CASE("events are split at blank lines and keep their bytes") {
  EventSplitter splitter;
  const auto events = splitter.Feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  REQUIRE(events.size() == 2);
  REQUIRE(events[0].bytes == "id: 1\ndata: a\n\n");
  REQUIRE(events[0].id == 1);
  REQUIRE(events[1].id == 2);
  REQUIRE_FALSE(splitter.has_tail());
}

// Guards against a corrupt stream: an engine crashes in the middle of an event.
// If its part were forwarded, the events of the engine that resumes the stream
// would be appended to it.
TEST_CASE("part of an event is buffered and can be discarded") {
  EventSplitter splitter;
  REQUIRE(splitter.Feed("id: 1\ndata: a\n\nid: 2\nda").size() == 1);
  REQUIRE(splitter.has_tail());
  splitter.Reset();
  const auto events = splitter.Feed("id: 2\ndata: b\n\n");
  REQUIRE(events.size() == 1);
  REQUIRE(events[0].bytes == "id: 2\ndata: b\n\n");
}

TEST_CASE("events do not depend on how the body is divided into reads") {
  const std::string bytes = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n";
  for (size_t step = 1; step < bytes.size(); ++step) {
    EventSplitter splitter;
    std::string joined;
    size_t count = 0;
    for (size_t at = 0; at < bytes.size(); at += step) {
      for (const auto& event : splitter.Feed(bytes.substr(at, step))) {
        joined += event.bytes;
        ++count;
      }
    }
    REQUIRE(joined == bytes);
    REQUIRE(count == 2);
  }
}

TEST_CASE("an event without a numeric id has no id") {
  EventSplitter splitter;
  const auto events = splitter.Feed("data: a\n\nid: x\ndata: b\n\n");
  REQUIRE(events.size() == 2);
  REQUIRE_FALSE(events[0].id);
  REQUIRE_FALSE(events[1].id);
}
