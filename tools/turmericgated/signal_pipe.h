#pragma once

#include <QObject>
#include <QSocketNotifier>
#include <functional>
#include <memory>

namespace turmeric::daemon {

/**
 * Delivers SIGTERM, SIGINT and SIGHUP to the event loop: the handlers only
 * write to a pipe that the loop reads, so nothing polls.
 */
class SignalPipe : public QObject {
 public:
  /** @param on_signal gets the signal's number, on the event loop. */
  explicit SignalPipe(std::function<void(int)> on_signal);
  ~SignalPipe() override;

 private:
  void Read();

  std::function<void(int)> on_signal_;
  std::unique_ptr<QSocketNotifier> notifier_;
};

}  // namespace turmeric::daemon
