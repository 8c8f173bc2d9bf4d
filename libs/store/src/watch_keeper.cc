#include "turmeric/store/watch_keeper.h"

#include <easylogging++.h>

#include <algorithm>
#include <chrono>

namespace turmeric::store {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCheckInterval{100};
constexpr milliseconds kInitialBackoff{200};
/** A change must be in force within 5 s, also right after an outage. */
constexpr milliseconds kMaxBackoff{3000};
constexpr int kMaxDoublings = 4;

}  // namespace

WatchKeeper::WatchKeeper(ResumableWatch& watch, StoreExecutor& executor,
                         std::string name)
    : watch_(watch), executor_(executor), name_(std::move(name)) {
  check_timer_.setSingleShot(true);
  connect(&check_timer_, &QTimer::timeout, this, [this] { Check(); });
}

void WatchKeeper::Start() { Check(); }

void WatchKeeper::Check() {
  const bool armed = watch_.armed();
  if (armed != was_armed_) {
    was_armed_ = armed;
    if (armed) {
      LOG(INFO) << "event=watch_armed watch=" << name_
                << " revision=" << watch_.revision();
    } else {
      LOG(WARNING) << "event=watch_broken watch=" << name_;
    }
  }
  if (armed || arming_) {
    check_timer_.start(kCheckInterval);
    return;
  }
  arming_ = true;
  executor_.Run(
      this, [this] { return watch_.Arm().has_value(); },
      [this](bool armed_now) {
        arming_ = false;
        failures_ = armed_now ? 0 : failures_ + 1;
        if (armed_now) {
          Check();
          return;
        }
        // Guard: after an outage every instance arms its watches again. If all
        // did so at the same time, their calls would be more than half of the
        // store's reads in that second. Full jitter spreads the instances over
        // the backoff.
        const milliseconds cap = std::min(
            kMaxBackoff,
            kInitialBackoff * (1 << std::min(failures_, kMaxDoublings)));
        std::uniform_int_distribution<int> wait(1,
                                                static_cast<int>(cap.count()));
        check_timer_.start(wait(rng_));
      });
}

}  // namespace turmeric::store
