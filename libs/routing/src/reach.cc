#include "turmeric/routing/reach.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace turmeric::routing {

using std::chrono::milliseconds;

namespace {

/** Interval of checks of an upstream that is reached through peers only. */
constexpr milliseconds kRecheckInterval{500};
/** Longest interval of checks of an upstream that is not reached at all; the
 * interval doubles with each failed check. */
constexpr milliseconds kLongestRecheckInterval{2000};
constexpr int kMaxDoublings = 2;
/** Least time between two questions to the peers about one upstream. */
constexpr milliseconds kAskInterval{1000};
/** Age up to which an answer shows that an upstream is reached. */
constexpr milliseconds kAnswerAge{1000};

}  // namespace

std::string_view PathName(Path path) {
  constexpr std::array<std::string_view, 3> kNames = {"direct", "tunnel",
                                                      "none"};
  return kNames.at(static_cast<size_t>(path));
}

bool ApplyCheck(Reach& reach, const CheckResult& result,
                Clock::time_point now) {
  const Path before = reach.path;
  if (result.peers_asked) reach.peers_asked_at = now;
  if (result.connected) {
    reach.path = Path::kDirect;
  } else if (!result.connected_peer.empty()) {
    reach.path = Path::kTunnel;
    reach.via = result.connected_peer;
  } else if (result.peers_asked || before == Path::kDirect) {
    reach.path = Path::kNone;
  }
  reach.failed_checks = reach.path == Path::kNone ? reach.failed_checks + 1 : 0;
  return reach.path != before;
}

bool IsRecheckDue(const Reach& reach, Clock::time_point now) {
  if (reach.path == Path::kDirect) return false;
  const int doublings = std::clamp(reach.failed_checks - 1, 0, kMaxDoublings);
  const auto interval =
      std::min(kRecheckInterval * (1 << doublings), kLongestRecheckInterval);
  return now - reach.checked_at >= interval;
}

bool MayAskPeers(const Reach& reach, Clock::time_point now) {
  return reach.path != Path::kNone ||
         now - reach.peers_asked_at >= kAskInterval;
}

bool IsReachedDirectly(const Reach& reach, Clock::time_point now) {
  return reach.path == Path::kDirect && now - reach.answered_at <= kAnswerAge;
}

}  // namespace turmeric::routing
