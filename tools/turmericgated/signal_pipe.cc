#include "signal_pipe.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <csignal>

namespace turmeric::daemon {

namespace {

/** Read end and write end; -1 while no SignalPipe exists. */
std::array<int, 2> g_pipe = {-1, -1};

void OnSignal(int number) {
  const auto byte = static_cast<char>(number);
  // If the pipe is full, enough signals are pending already; a signal handler
  // cannot handle any other write error.
  [[maybe_unused]] const ssize_t written = ::write(g_pipe[1], &byte, 1);
}

}  // namespace

SignalPipe::SignalPipe(std::function<void(int)> on_signal)
    : on_signal_(std::move(on_signal)) {
  if (::pipe2(g_pipe.data(), O_NONBLOCK | O_CLOEXEC) != 0) return;
  notifier_ =
      std::make_unique<QSocketNotifier>(g_pipe[0], QSocketNotifier::Read);
  connect(notifier_.get(), &QSocketNotifier::activated, this,
          [this] { Read(); });
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
    std::signal(number, OnSignal);
  }
  std::signal(SIGPIPE, SIG_IGN);
}

SignalPipe::~SignalPipe() {
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
    std::signal(number, SIG_DFL);
  }
  notifier_.reset();
  for (int& fd : g_pipe) {
    if (fd >= 0) ::close(fd);
    fd = -1;
  }
}

void SignalPipe::Read() {
  char byte = 0;
  while (::read(g_pipe[0], &byte, 1) == 1) on_signal_(byte);
}

}  // namespace turmeric::daemon
