#pragma once

#include <QObject>
#include <QTimer>
#include <random>

#include "turmeric/store/resumable_watch.h"
#include "turmeric/store/store_executor.h"

namespace turmeric::store {

/**
 * Keeps a ResumableWatch armed: checks it on the event loop, and arms it on a
 * thread of the executor at the start and after each break, with jittered
 * backoff.
 */
class WatchKeeper : public QObject {
 public:
  /**
   * @param watch the watch; must outlive this object.
   * @param executor runs the blocking calls; must outlive this object.
   * @param name name of the watch in the log.
   */
  WatchKeeper(ResumableWatch& watch, StoreExecutor& executor, std::string name);
  /** Arms the watch and starts checking it. */
  void Start();
  /** Stops checking; an attempt in flight may still arm the watch. */
  void Stop() { check_timer_.stop(); }

 private:
  void Check();

  ResumableWatch& watch_;
  StoreExecutor& executor_;
  std::string name_;
  QTimer check_timer_;
  std::mt19937_64 rng_{std::random_device{}()};
  int failures_ = 0;
  bool arming_ = false;
  bool was_armed_ = false;
};

}  // namespace turmeric::store
