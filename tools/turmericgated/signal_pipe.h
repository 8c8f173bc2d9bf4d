#pragma once

#include <QObject>
#include <QSocketNotifier>
#include <functional>
#include <memory>

namespace turmeric::daemon {

/**
 * Delivers SIGTERM, SIGINT and SIGHUP to the event loop. The signal handlers
 * only write to a pipe that the event loop watches, so no polling is needed.
 * SIGPIPE is ignored. At most one object may exist at a time.
 */
class SignalPipe : public QObject {
 public:
  /** @param on_signal called on the event loop with the signal number. */
  explicit SignalPipe(std::function<void(int)> on_signal);
  ~SignalPipe() override;

 private:
  void Read();

  std::function<void(int)> on_signal_;
  std::unique_ptr<QSocketNotifier> notifier_;
};

}  // namespace turmeric::daemon
