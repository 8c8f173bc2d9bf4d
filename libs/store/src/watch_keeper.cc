#include "turmeric/store/watch_keeper.h"

#include <easylogging++.h>

#include <algorithm>
#include <chrono>

namespace turmeric::store {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCheckEvery{100};
constexpr milliseconds kFirstBackOff{200};
/** A change must be in force within 5 s, also right after an outage. */
constexpr milliseconds kLongestBackOff{3000};
constexpr int kMostDoublings = 4;

}  // namespace

WatchKeeper::WatchKeeper(ResumableWatch& watch, StoreExecutor& executor,
                         std::string name)
    : watch_(watch), executor_(executor), name_(std::move(name)) {
  check_.setSingleShot(true);
  connect(&check_, &QTimer::timeout, this, [this] { Check(); });
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
    check_.start(kCheckEvery);
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
        // Guard: after an outage every instance re-arms; all at once that is
        // more than half the store's reads for a second. Full jitter spreads
        // the fleet over the back-off.
        const milliseconds cap = std::min(
            kLongestBackOff,
            kFirstBackOff * (1 << std::min(failures_, kMostDoublings)));
        std::uniform_int_distribution<int> wait(1,
                                                static_cast<int>(cap.count()));
        check_.start(wait(rng_));
      });
}

}  // namespace turmeric::store
