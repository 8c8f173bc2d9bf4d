#include "turmeric/entry/presence_book.h"

#include <catch2/catch.hpp>
#include <string>

using turmeric::entry::MakeIdentity;
using turmeric::entry::ParseIdentity;
using turmeric::entry::PresenceBook;

TEST_CASE("an identity tells the instance and its start") {
  const std::string identity = MakeIdentity("entry-1");
  REQUIRE(ParseIdentity(identity).name == "entry-1");
  REQUIRE(ParseIdentity(identity).start.size() == 16);
  REQUIRE(ParseIdentity("entry#2#00af").name == "entry#2");
  REQUIRE(ParseIdentity("no start").start.empty());
}

// Story: a fleet restarts in series, and every instance hears of every start
// and stop from two relays. Each piece of news is passed on once.
TEST_CASE("news of an instance is news once") {
  PresenceBook book;
  REQUIRE(book.Learn({"a#0001", false}));
  REQUIRE_FALSE(book.Learn({"a#0001", false}));
  REQUIRE(book.Learn({"a#0001", true}));
  REQUIRE_FALSE(book.Learn({"a#0001", true}));
  REQUIRE_FALSE(book.Learn({"a#0001", false}));
  REQUIRE(book.Learn({"a#0002", false}));
}

// Story: an instance has restarted. News that its earlier start leaves comes by
// a slower path; taken for news, the instance would own nothing for seconds.
TEST_CASE("news of an earlier start comes too late") {
  PresenceBook book;
  REQUIRE(book.Learn({"a#0002", false}));
  REQUIRE_FALSE(book.Learn({"a#0001", true}));
  REQUIRE_FALSE(book.Learn({"#0003", true}));
}
