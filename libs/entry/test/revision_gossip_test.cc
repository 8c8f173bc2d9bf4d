#include "turmeric/entry/revision_gossip.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::entry::RevisionGossip;
using turmeric::peer::Frame;

namespace {

const RevisionGossip::Clock::time_point kNow =
    RevisionGossip::Clock::time_point(100s);

}  // namespace

TEST_CASE("frames carry the revisions that an instance knows") {
  RevisionGossip gossip;
  std::vector<int64_t> received;
  gossip.Connect(
      [] {
        return RevisionGossip::Revisions{5, 9, 11};
      },
      [&](const RevisionGossip::Revisions& revisions) {
        received = {revisions.config, revisions.upstreams,
                    revisions.evacuations};
      });
  Frame frame;
  gossip.AddTo(frame);
  REQUIRE(frame.newest_revisions.config == 5);
  REQUIRE(frame.newest_revisions.upstreams == 9);
  REQUIRE(frame.newest_revisions.evacuations == 11);
  frame.newest_revisions.config = 7;
  gossip.ReadFrom(frame, kNow);
  REQUIRE(received == std::vector<int64_t>{7, 9, 11});
}

// Guards against a high call rate for a store in which nothing changes: sixty
// instances that each renew two watches every three seconds make forty calls a
// second. Watches may wait longer while instances exchange frames; an instance
// that receives none must detect a lost watch by itself.
TEST_CASE("watches wait longer with more instances in contact") {
  RevisionGossip gossip;
  REQUIRE(gossip.WatchWait(60, kNow) == 3s);
  gossip.ReadFrom(Frame{}, kNow);
  REQUIRE(gossip.WatchWait(16, kNow + 1s) == 4s);
  REQUIRE(gossip.WatchWait(6, kNow + 1s) == 3s);
  REQUIRE(gossip.WatchWait(1100, kNow + 1s) == 5s);
  REQUIRE(gossip.WatchWait(60, kNow + 3s) == 3s);
}
