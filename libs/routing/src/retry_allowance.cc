#include "turmeric/routing/retry_allowance.h"

#include <algorithm>

namespace turmeric::routing {

namespace {

/** Fraction of the bound that is used. The rest covers requests that arrive,
 * and retries that reach their upstream, up to a fifth of a window late. */
constexpr double kUsableFraction = 0.9;
/** Fraction of the ratio that a request adds as credit; the rest raises the
 * bucket's capacity while the request is within the window. A higher fraction
 * suits long faults, a lower one sudden faults. */
constexpr double kCreditFraction = 0.75;

}  // namespace

void RetryAllowance::DropExpired(const RetryBudgetLimits& limits,
                                 double slack_share, Clock::time_point now) {
  while (!requests_.empty() && requests_.front().at + limits.window < now) {
    recent_weight_ -= requests_.front().weight;
    requests_.pop_front();
  }
  const double capacity_ratio = (1 - kCreditFraction) * limits.ratio;
  const double max_credit =
      kUsableFraction * (slack_share + capacity_ratio * recent_weight_);
  credit_ = std::min(credit_, max_credit);
}

void RetryAllowance::OnRequest(const RetryBudgetLimits& limits,
                               double slack_share, double weight,
                               Clock::time_point now) {
  DropExpired(limits, slack_share, now);
  requests_.push_back({now, weight});
  recent_weight_ += weight;
  credit_ += kUsableFraction * kCreditFraction * limits.ratio * weight;
}

bool RetryAllowance::TrySpend(const RetryBudgetLimits& limits,
                              double slack_share, Clock::time_point now,
                              int retries) {
  DropExpired(limits, slack_share, now);
  if (credit_ < retries) return false;
  credit_ -= retries;
  return true;
}

}  // namespace turmeric::routing
