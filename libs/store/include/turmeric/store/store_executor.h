#pragma once

#include <QObject>
#include <QPointer>
#include <QThreadPool>
#include <utility>

namespace turmeric::store {

/**
 * Runs store calls, which block, on a few threads and hands their results
 * back to the event loop it was made on: a slow or silent store must not
 * stop requests that do not need it.
 */
class StoreExecutor {
 public:
  /** @param threads store calls open at once. */
  explicit StoreExecutor(int threads) { pool_.setMaxThreadCount(threads); }
  /** Waits for open calls; results not yet delivered are dropped. */
  ~StoreExecutor() { pool_.waitForDone(); }
  StoreExecutor(const StoreExecutor&) = delete;
  StoreExecutor& operator=(const StoreExecutor&) = delete;

  /** Waits until no call is open; results may still be on their way back. */
  void WaitIdle() { pool_.waitForDone(); }
  /**
   * @param context owner of `done`; if it is gone by then, `done` is not run.
   *     Lives on the event loop's thread.
   * @param work runs on a store thread; returns a value.
   * @param done gets that value, on the event loop.
   */
  template <class Work, class Done>
  void Run(QObject* context, Work work, Done done) {
    // Made and read on the event loop's thread; the store thread only passes
    // it through (its reference count is atomic).
    pool_.start([this, guard = QPointer<QObject>(context),
                 work = std::move(work), done = std::move(done)]() mutable {
      auto result = work();
      QMetaObject::invokeMethod(
          &relay_,
          [guard = std::move(guard), done = std::move(done),
           result = std::move(result)]() mutable {
            if (guard) done(std::move(result));
          },
          Qt::QueuedConnection);
    });
  }

 private:
  QObject relay_;
  QThreadPool pool_;
};

}  // namespace turmeric::store
