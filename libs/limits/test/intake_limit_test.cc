#include "turmeric/limits/intake_limit.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace turmeric::limits {
namespace {

using std::chrono::milliseconds;

/** An instance that serves a number of connections per second, and delays those
 * beyond. */
class Server {
 public:
  Server(double served_per_s, double arriving_per_s)
      : served_per_s_(served_per_s), arriving_per_s_(arriving_per_s) {}

  void set_arriving(double per_s) { arriving_per_s_ = per_s; }
  void Run(milliseconds time) {
    constexpr milliseconds kStep{10};
    const double step_s = 0.01;
    taken_ = left_ = 0;
    for (const auto end = now_ + time; now_ < end; now_ += kStep) {
      arrivals_ += arriving_per_s_ * step_s;
      for (; arrivals_ >= 1; --arrivals_) {
        if (limit_.Admits(now_)) {
          limit_.OnTaken();
          ++taken_;
          ++queue_;
        } else {
          ++left_;
        }
      }
      queue_ = std::max(0.0, queue_ - served_per_s_ * step_s);
      limit_.OnLoopDelay(
          milliseconds(static_cast<int64_t>(1000 * queue_ / served_per_s_)),
          now_);
    }
  }
  double queue_ms() const { return 1000 * queue_ / served_per_s_; }
  int taken() const { return taken_; }
  int left() const { return left_; }
  const IntakeLimit& limit() const { return limit_; }

 private:
  IntakeLimit limit_;
  Clock::time_point now_{milliseconds(1'000'000)};
  double served_per_s_;
  double arriving_per_s_;
  double arrivals_ = 0;
  double queue_ = 0;
  int taken_ = 0;
  int left_ = 0;
};

TEST_CASE("an instance within its means takes all connections") {
  Server server(100, 80);
  server.Run(milliseconds(20'000));
  CHECK(server.left() == 0);
  CHECK_FALSE(server.limit().bounded());
}

TEST_CASE(
    "an instance beyond its means leaves the rest, and serves most of "
    "what it can") {
  Server server(100, 400);
  server.Run(milliseconds(2000));
  server.Run(milliseconds(20'000));
  CHECK(server.queue_ms() < 1000);
  CHECK(server.taken() > 0.75 * 100 * 20);
  CHECK(server.taken() < 1.05 * 100 * 20);
}

TEST_CASE("the bound ends with the crowd") {
  Server server(100, 400);
  server.Run(milliseconds(5000));
  CHECK(server.limit().bounded());
  server.set_arriving(30);
  server.Run(milliseconds(5000));
  CHECK_FALSE(server.limit().bounded());
  server.Run(milliseconds(5000));
  CHECK(server.left() == 0);
}

TEST_CASE("an instance that is stuck takes a few connections") {
  IntakeLimit limit;
  Clock::time_point now{milliseconds(1'000'000)};
  int taken = 0;
  for (int i = 0; i < 1000; ++i, now += milliseconds(10)) {
    limit.OnLoopDelay(milliseconds(5000), now);
    if (!limit.Admits(now)) continue;
    limit.OnTaken();
    ++taken;
  }
  CHECK(limit.per_s() == IntakeLimit::kMinPerS);
  CHECK(taken >= 40);
}

TEST_CASE("one slow caller causes no bound") {
  IntakeLimit limit;
  Clock::time_point now{milliseconds(1'000'000)};
  for (int i = 0; i < 100; ++i, now += milliseconds(50)) {
    limit.Admits(now);
    limit.OnTaken();
    limit.OnReceiveTime(i == 50 ? milliseconds(60'000) : milliseconds(5), now);
  }
  CHECK_FALSE(limit.bounded());
}

TEST_CASE("requests that arrive slowly bound the intake") {
  IntakeLimit limit;
  Clock::time_point now{milliseconds(1'000'000)};
  for (int i = 0; i < 100; ++i, now += milliseconds(20)) {
    if (limit.Admits(now)) limit.OnTaken();
    limit.OnLoopDelay(milliseconds(1), now);
    limit.OnReceiveTime(milliseconds(700), now);
  }
  CHECK(limit.bounded());
  CHECK(limit.per_s() < 50);
}

}  // namespace
}  // namespace turmeric::limits
