#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

#include "turmeric/peer/frame.h"

namespace turmeric::entry {

/**
 * Exchanges the revisions of the newest store changes with every frame between
 * any two instances. An instance that has lost its watch or its relays without
 * detecting the loss finds a newer revision in the next frame of any peer
 * instance, and then queries the store. StoreRelay passes on the changes
 * themselves.
 */
class RevisionGossip {
 public:
  using Clock = std::chrono::steady_clock;

  /** Revisions of the newest changes known, by kind; 0: none. */
  using Revisions = peer::StoreRevisions;

  /**
   * @param own returns the revisions known to this instance.
   * @param on_received called with the revisions known to a peer instance.
   */
  void Connect(std::function<Revisions()> own,
               std::function<void(const Revisions&)> on_received);
  /**
   * Adds the revisions known to this instance to a frame.
   * @param frame frame that is about to be sent.
   */
  void AddTo(peer::Frame& frame) const;
  /**
   * Handles the revisions in a received frame.
   * @param frame frame of a peer instance.
   * @param now current time.
   */
  void ReadFrom(const peer::Frame& frame, Clock::time_point now);
  /**
   * @param instances number of instances that watch the store.
   * @param now current time.
   * @return how long a watch of the store may wait.
   */
  std::chrono::milliseconds WatchWait(int instances,
                                      Clock::time_point now) const;

 private:
  std::function<Revisions()> own_;
  std::function<void(const Revisions&)> on_received_;
  Clock::time_point received_at_;
};

}  // namespace turmeric::entry
