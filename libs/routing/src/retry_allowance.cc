#include "turmeric/routing/retry_allowance.h"

#include <algorithm>

namespace turmeric::routing {

namespace {

/** Part of the bound that is spent: instances' windows slide apart, and
 * repeats still on their way are not seen by others. */
constexpr double kSafety = 0.8;

}  // namespace

void RetryAllowance::OnRequest(std::chrono::milliseconds window,
                               Clock::time_point now) {
  // Trimmed here too: a service that needs no repeats for days must not make
  // the process remember every request of them.
  Trim(window, now);
  requests_.push_back(now);
}

void RetryAllowance::Trim(std::chrono::milliseconds window,
                          Clock::time_point now) {
  const auto expired = [&](Clock::time_point at) { return at + window < now; };
  while (!requests_.empty() && expired(requests_.front())) {
    requests_.pop_front();
  }
  while (!repeats_.empty() && expired(repeats_.front())) repeats_.pop_front();
}

bool RetryAllowance::TrySpend(const RetryBudgetLimits& limits,
                              int live_instances, Clock::time_point now) {
  Trim(limits.window, now);
  const double earned = limits.ratio * static_cast<double>(requests_.size());
  const double share = limits.slack / std::max(1, live_instances);
  if (static_cast<double>(repeats_.size()) + 1 > kSafety * (earned + share)) {
    return false;
  }
  repeats_.push_back(now);
  return true;
}

}  // namespace turmeric::routing
