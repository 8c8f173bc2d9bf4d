#include "run_until.h"

#include <QCoreApplication>
#include <chrono>
#include <thread>

namespace turmeric::http::test {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

bool RunUntil(const std::function<bool()>& condition) {
  const auto until = std::chrono::steady_clock::now() + 3s;
  while (!condition() && std::chrono::steady_clock::now() < until) {
    QCoreApplication::processEvents(QEventLoop::AllEvents);
    std::this_thread::sleep_for(1ms);
  }
  return condition();
}

}  // namespace turmeric::http::test
