#include "turmeric/routing/reach.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using namespace turmeric::routing;     // NOLINT(google-build-using-namespace)

namespace {

const CheckResult kConnected{.connected = true};
const CheckResult kThroughPeer{.peers_asked = true,
                               .connected_peer = "entry-2"};
const CheckResult kUnreached{.refused = true, .peers_asked = true};
const CheckResult kPeersNotAsked{.refused = true};

const Clock::time_point kStart = Clock::time_point(1h);

}  // namespace

TEST_CASE("the path to an upstream follows the checks of it") {
  Reach reach;
  CHECK_FALSE(ApplyCheck(reach, kConnected, kStart));
  CHECK(ApplyCheck(reach, kThroughPeer, kStart));
  CHECK(reach.path == Path::kTunnel);
  CHECK(reach.via == "entry-2");
  CHECK(ApplyCheck(reach, kUnreached, kStart));
  CHECK(reach.path == Path::kNone);
  CHECK(ApplyCheck(reach, kConnected, kStart));
  CHECK(reach.path == Path::kDirect);
  CHECK(reach.failed_checks == 0);
}

// Guards against a tunnel that is given up because only the direct connection
// was checked again.
TEST_CASE("a failed direct connection alone does not end the use of tunnels") {
  Reach reach;
  ApplyCheck(reach, kThroughPeer, kStart);
  CHECK_FALSE(ApplyCheck(reach, kPeersNotAsked, kStart));
  CHECK(reach.path == Path::kTunnel);
}

// Guards against an instance that keeps connecting to upstreams which ended.
TEST_CASE("an upstream that nobody reaches is checked less and less often") {
  Reach reach;
  auto now = kStart;
  int checks = 0;
  for (; now < kStart + 20s; now += 50ms) {
    if (reach.path != Path::kDirect && !IsRecheckDue(reach, now)) continue;
    reach.checked_at = now;
    ApplyCheck(reach, kUnreached, now);
    ++checks;
  }
  CHECK(checks >= 10);
  CHECK(checks <= 13);
}

TEST_CASE("peers are not asked again at once about an unreached upstream") {
  Reach reach;
  ApplyCheck(reach, kUnreached, kStart);
  CHECK_FALSE(MayAskPeers(reach, kStart + 500ms));
  CHECK(MayAskPeers(reach, kStart + 1s));
}

TEST_CASE("only a recent answer shows that an upstream is reached directly") {
  Reach reach{.answered_at = kStart};
  CHECK(IsReachedDirectly(reach, kStart + 900ms));
  CHECK_FALSE(IsReachedDirectly(reach, kStart + 2s));
  reach.path = Path::kTunnel;
  CHECK_FALSE(IsReachedDirectly(reach, kStart));
}
