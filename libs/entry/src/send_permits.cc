#include "turmeric/entry/send_permits.h"

#include <algorithm>

#include "turmeric/entry/upstream_limiter.h"

namespace turmeric::entry {

using routing::UpstreamPtr;
using std::chrono::milliseconds;

namespace {

/** Refused permits after which upstreams with a limit are not chosen. */
constexpr size_t kMaxRefused = 2;
/** Least time left to the latency target for which half of it is waited for a
 * permit, and the longest wait of a request that is late already. */
constexpr milliseconds kMinTargetTime{60};
constexpr milliseconds kMaxLateWait{500};

}  // namespace

std::vector<std::string> SendPermits::Excluded(
    std::span<const std::string> tried, Clock::time_point now) const {
  std::vector<std::string> excluded =
      refused_.size() >= kMaxRefused ? limiter_.Limited(service_)
                                     : limiter_.WithoutPermit(service_, now);
  excluded.insert(excluded.end(), tried.begin(), tried.end());
  excluded.insert(excluded.end(), refused_.begin(), refused_.end());
  return excluded;
}

void SendPermits::Acquire(const UpstreamPtr& upstream, Callback done,
                          Clock::time_point now) {
  if (!limiter_.IsLimited(*upstream)) return done(upstream);
  refused_.push_back(upstream->entry.id);
  limiter_.Acquire(
      {.service = service_, .upstream = upstream, .excluded = {}},
      [done = std::move(done)](const UpstreamPtr& granted, Clock::time_point) {
        done(granted);
      },
      now);
}

bool SendPermits::AcquireAny(std::string_view version,
                             std::span<const std::string> tried,
                             milliseconds max_wait, Callback done,
                             Clock::time_point now) {
  if (any_requested_ || !limiter_.HasLimited(service_, version, tried, now)) {
    return false;
  }
  any_requested_ = true;
  limiter_.Acquire(
      {.service = service_,
       .upstream = nullptr,
       .excluded = {tried.begin(), tried.end()},
       .max_wait = max_wait,
       .version = std::string(version)},
      [done = std::move(done)](const UpstreamPtr& granted, Clock::time_point) {
        done(granted);
      },
      now);
  return true;
}

void SendPermits::OnSent() {
  refused_.clear();
  any_requested_ = false;
}

milliseconds MaxPermitWait(milliseconds until_target,
                           milliseconds until_limit) {
  if (until_target > kMinTargetTime) return until_target / 2;
  return std::clamp(until_limit / 3, milliseconds(0), kMaxLateWait);
}

}  // namespace turmeric::entry
