#include "turmeric/entry/presence_book.h"

#include <catch2/catch.hpp>
#include <string>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::entry::MakeIdentity;
using turmeric::entry::ParseIdentity;
using turmeric::entry::PresenceBook;

namespace {

const PresenceBook::Clock::time_point kNow =
    PresenceBook::Clock::time_point(100s);

}  // namespace

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
  REQUIRE(book.Learn({"a#0001", false}, kNow));
  REQUIRE_FALSE(book.Learn({"a#0001", false}, kNow));
  REQUIRE(book.Learn({"a#0001", true}, kNow));
  REQUIRE_FALSE(book.Learn({"a#0001", true}, kNow));
  REQUIRE_FALSE(book.Learn({"a#0001", false}, kNow));
  REQUIRE(book.Learn({"a#0002", false}, kNow));
}

// Story: an instance has restarted. News that its earlier start leaves comes by
// a slower path; taken for news, the instance would own nothing for seconds.
TEST_CASE("news of an earlier start comes too late") {
  PresenceBook book;
  REQUIRE(book.Learn({"a#0002", false}, kNow));
  REQUIRE_FALSE(book.Learn({"a#0001", true}, kNow));
  REQUIRE_FALSE(book.Learn({"#0003", true}, kNow));
}

// Story: half of a fleet is leaving while it restarts in series. An instance
// that has just started knows of none of them, hands its pieces to owners that
// leave, and their calls meet those of the owners that all others know.
TEST_CASE("who has just started is told who is leaving") {
  PresenceBook book;
  book.Learn({"a#0001", false}, kNow - 20s);
  book.Learn({"b#0001", false}, kNow - 20s);
  book.Learn({"b#0001", true}, kNow - 3s);
  const auto recent = book.Recent(kNow);
  REQUIRE(recent.size() == 1);
  REQUIRE(recent[0].identity == "b#0001");
  REQUIRE(recent[0].leaving);
}
