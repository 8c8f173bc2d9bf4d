#include "turmeric/entry/revision_gossip.h"

#include <algorithm>
#include <utility>

namespace turmeric::entry {

using std::chrono::milliseconds;

namespace {

/**
 * Wait of a watch without frames from peer instances: a watch that is lost
 * because the store stops responding is detected when its wait ends, and a
 * change must be in force within five seconds of the store's return.
 */
constexpr milliseconds kDefaultWait{3000};
/**
 * With peer instances, the average interval at which some watch of the fleet
 * ends and its instance sends the new revisions to the others: well within the
 * second or two in which a change must be in force.
 */
constexpr milliseconds kFleetWatchInterval{250};
/**
 * Few instances watch the store, so a longer wait would save few calls; the end
 * of each watch confirms to followers that the store still answers.
 */
constexpr milliseconds kMaxWait{5000};
/**
 * Time without frames after which revisions from peer instances cannot be
 * relied on.
 */
constexpr milliseconds kPeerTimeout{2000};

}  // namespace

void RevisionGossip::Connect(
    std::function<Revisions()> own,
    std::function<void(const Revisions&)> on_received) {
  own_ = std::move(own);
  on_received_ = std::move(on_received);
}

void RevisionGossip::AddTo(peer::Frame& frame) const {
  if (!own_) return;
  frame.newest_revisions = own_();
}

void RevisionGossip::ReadFrom(const peer::Frame& frame, Clock::time_point now) {
  received_at_ = now;
  if (on_received_) on_received_(frame.newest_revisions);
}

milliseconds RevisionGossip::WatchWait(int instances,
                                       Clock::time_point now) const {
  if (now - received_at_ > kPeerTimeout) return kDefaultWait;
  return std::clamp(kFleetWatchInterval * instances, kDefaultWait, kMaxWait);
}

}  // namespace turmeric::entry
