#include "turmeric/entry/store_news.h"

#include <algorithm>
#include <utility>

namespace turmeric::entry {

using std::chrono::milliseconds;

namespace {

/** Wait of a watch without news of others: a watch that is lost with a silent
 * store is noticed by its end, and a change must be in force within five
 * seconds of the store's return. */
constexpr milliseconds kAlone{3000};
/** With others, some watch of the fleet ends so often on average, and its
 * instance tells the others: well within the second or two in which a change
 * must be in force. */
constexpr milliseconds kFleetInterval{250};
/** Few instances wait at the store, so a longer wait would save few calls; the
 * end of each tells their followers that the store is still heard. */
constexpr milliseconds kLongest{5000};
/** Silence of the others after which their news cannot be relied on. */
constexpr milliseconds kHeardLately{2000};

}  // namespace

void StoreNews::Connect(std::function<Seen()> own,
                        std::function<void(const Seen&)> on_heard) {
  own_ = std::move(own);
  on_heard_ = std::move(on_heard);
}

void StoreNews::Tell(peer::Frame& frame) const {
  if (!own_) return;
  frame.newest_revisions = own_();
}

void StoreNews::Hear(const peer::Frame& frame, Clock::time_point now) {
  heard_at_ = now;
  if (on_heard_) on_heard_(frame.newest_revisions);
}

milliseconds StoreNews::WatchWait(int instances, Clock::time_point now) const {
  if (now - heard_at_ > kHeardLately) return kAlone;
  return std::clamp(kFleetInterval * instances, kAlone, kLongest);
}

}  // namespace turmeric::entry
