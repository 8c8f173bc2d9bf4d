#include "turmeric/routing/retry_allowance.h"

#include <algorithm>

namespace turmeric::routing {

namespace {

/** Part of the bound that is spent. The rest covers requests that arrive, and
 * repeats that reach their upstream, up to a fifth of a window late. */
constexpr double kSpentPart = 0.9;
/** Part of the ratio that a request earns; the rest of it adds to what the
 * bucket holds, as long as the request is within the window. More of it serves
 * a long fault, less a sudden one. */
constexpr double kFedPart = 0.75;

}  // namespace

void RetryAllowance::Settle(const RetryBudgetLimits& limits, double slack_share,
                            Clock::time_point now) {
  while (!requests_.empty() && requests_.front().at + limits.window < now) {
    recent_weight_ -= requests_.front().weight;
    requests_.pop_front();
  }
  const double held_ratio = (1 - kFedPart) * limits.ratio;
  const double most = kSpentPart * (slack_share + held_ratio * recent_weight_);
  credit_ = std::min(credit_, most);
}

void RetryAllowance::OnRequest(const RetryBudgetLimits& limits,
                               double slack_share, double weight,
                               Clock::time_point now) {
  Settle(limits, slack_share, now);
  requests_.push_back({now, weight});
  recent_weight_ += weight;
  credit_ += kSpentPart * kFedPart * limits.ratio * weight;
}

bool RetryAllowance::TrySpend(const RetryBudgetLimits& limits,
                              double slack_share, Clock::time_point now,
                              int repeats) {
  Settle(limits, slack_share, now);
  if (credit_ < repeats) return false;
  credit_ -= repeats;
  return true;
}

}  // namespace turmeric::routing
