#pragma once

#include <QObject>
#include <QTimer>
#include <random>

#include "turmeric/store/resumable_watch.h"
#include "turmeric/store/store_executor.h"

namespace turmeric::store {

/**
 * Keeps a ResumableWatch armed from the event loop: arms it on a store
 * thread, again after a break, with jittered back-off.
 */
class WatchKeeper : public QObject {
 public:
  /**
   * @param watch the watch; must outlive this.
   * @param executor where arming blocks.
   * @param name for the log.
   */
  WatchKeeper(ResumableWatch& watch, StoreExecutor& executor, std::string name);
  /** Starts keeping it armed. */
  void Start();
  /** Stops; an attempt under way may still arm it. */
  void Stop() { check_.stop(); }

 private:
  void Check();

  ResumableWatch& watch_;
  StoreExecutor& executor_;
  std::string name_;
  QTimer check_;
  std::mt19937_64 rng_{std::random_device{}()};
  int failures_ = 0;
  bool arming_ = false;
  bool was_armed_ = false;
};

}  // namespace turmeric::store
