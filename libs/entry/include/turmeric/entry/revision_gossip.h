#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

#include "turmeric/peer/frame.h"

namespace turmeric::entry {

/**
 * How new the store's changes are that each instance knows, told with every
 * frame between any two. An instance whose watch or relays were lost without a
 * word learns from the next frame of any other that it is behind, and asks the
 * store. The changes themselves are passed on by StoreRelay.
 */
class StoreNews {
 public:
  using Clock = std::chrono::steady_clock;

  /** Newest changes seen, by their revisions; 0: none. */
  using Seen = peer::StoreRevisions;

  /** @param own gives what this instance has seen. @param on_heard told what
   * another one has seen. */
  void Connect(std::function<Seen()> own,
               std::function<void(const Seen&)> on_heard);
  /** @param frame leaves now; gets what we have seen. */
  void Tell(peer::Frame& frame) const;
  /** @param frame of another instance. @param now the time. */
  void Hear(const peer::Frame& frame, Clock::time_point now);
  /**
   * @param instances that wait at the store. @param now the time.
   * @return how long a watch of the store may wait.
   */
  std::chrono::milliseconds WatchWait(int instances,
                                      Clock::time_point now) const;

 private:
  std::function<Seen()> own_;
  std::function<void(const Seen&)> on_heard_;
  Clock::time_point heard_at_;
};

}  // namespace turmeric::entry
