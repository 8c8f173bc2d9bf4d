#include "turmeric/entry/store_news.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::entry::StoreNews;
using turmeric::peer::Frame;

namespace {

const StoreNews::Clock::time_point kNow = StoreNews::Clock::time_point(100s);

}  // namespace

TEST_CASE("frames carry how new the changes are that an instance has seen") {
  StoreNews news;
  std::vector<int64_t> heard;
  news.Connect(
      [] {
        return StoreNews::Seen{5, 9, 11};
      },
      [&](const StoreNews::Seen& seen) {
        heard = {seen.config, seen.upstreams, seen.evacuations};
      });
  Frame frame;
  news.Tell(frame);
  REQUIRE(frame.newest_revisions.config == 5);
  REQUIRE(frame.newest_revisions.upstreams == 9);
  REQUIRE(frame.newest_revisions.evacuations == 11);
  frame.newest_revisions.config = 7;
  news.Hear(frame, kNow);
  REQUIRE(heard == std::vector<int64_t>{7, 9, 11});
}

// Story: sixty instances each renew two watches every three seconds, and the
// platform bills forty calls a second for a store in which nothing changes.
// While they hear of each other they may wait for longer; an instance that
// hears of nobody must notice a lost watch by itself.
TEST_CASE("watches wait the longer the more instances are heard") {
  StoreNews news;
  REQUIRE(news.WatchWait(60, kNow) == 3s);
  news.Hear(Frame{}, kNow);
  REQUIRE(news.WatchWait(16, kNow + 1s) == 4s);
  REQUIRE(news.WatchWait(6, kNow + 1s) == 3s);
  REQUIRE(news.WatchWait(1100, kNow + 1s) == 5s);
  REQUIRE(news.WatchWait(60, kNow + 3s) == 3s);
}
