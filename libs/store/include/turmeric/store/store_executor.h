#pragma once

#include <QObject>
#include <QPointer>
#include <QThreadPool>
#include <utility>

namespace turmeric::store {

/**
 * Runs blocking store calls on a thread pool and delivers their results to the
 * event loop on which the executor was created, so that a slow or unreachable
 * store does not block requests that do not use it.
 */
class StoreExecutor {
 public:
  /** @param threads largest number of concurrent store calls. */
  explicit StoreExecutor(int threads) { pool_.setMaxThreadCount(threads); }
  /** Waits for the calls in flight; undelivered results are dropped. */
  ~StoreExecutor() { pool_.waitForDone(); }
  StoreExecutor(const StoreExecutor&) = delete;
  StoreExecutor& operator=(const StoreExecutor&) = delete;

  /** Waits until no call is in flight; results may still be queued for the
   * event loop. */
  void WaitIdle() { pool_.waitForDone(); }
  /**
   * Runs a store call.
   * @param context owner of `done`, on the event loop's thread; if it has been
   *     destroyed when the call ends, `done` is not called.
   * @param work runs on a thread of the pool and returns a value.
   * @param done receives the value of `work`, on the event loop.
   */
  template <class Work, class Done>
  void Run(QObject* context, Work work, Done done) {
    // The QPointer is created and read on the event loop's thread; the pool's
    // thread only moves it (its reference count is atomic).
    pool_.start([this, guard = QPointer<QObject>(context),
                 work = std::move(work), done = std::move(done)]() mutable {
      auto result = work();
      QMetaObject::invokeMethod(
          &loop_object_,
          [guard = std::move(guard), done = std::move(done),
           result = std::move(result)]() mutable {
            if (guard) done(std::move(result));
          },
          Qt::QueuedConnection);
    });
  }

 private:
  QObject loop_object_;  ///< Its thread's event loop runs the callbacks.
  QThreadPool pool_;
};

}  // namespace turmeric::store
