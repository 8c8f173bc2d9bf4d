#pragma once

#include <memory>
#include <random>
#include <span>
#include <vector>

#include "turmeric/gateway/latency_quantile.h"
#include "turmeric/gateway/retry_budget.h"
#include "turmeric/gateway/upstream_state.h"

namespace turmeric::gateway {

/** A member of a pool; its state is shared by all pools that contain it. */
using UpstreamRef = std::shared_ptr<UpstreamState>;

/** The upstreams of one pool of one business, and the selection among them. */
class UpstreamPool {
 public:
  /** @param members the pool's upstreams, in settings order. */
  void SetMembers(std::vector<UpstreamRef> members);
  /**
   * Selects the upstream of a call. A leaving upstream is never selected;
   * ejected upstreams and `exclude` only if no other upstream is left.
   * @param policy routing policy.
   * @param rng random source (seeded by the caller).
   * @param now current time.
   * @param exclude the upstream that just failed, or nullptr.
   * @return the selected upstream, or nullptr if every member is leaving.
   */
  UpstreamRef Pick(RoutingPolicy policy, std::mt19937_64& rng,
                   Clock::time_point now,
                   const UpstreamState* exclude = nullptr);
  /** @return members, in settings order. */
  std::span<const UpstreamRef> members() const { return members_; }
  /** @return budget for retries in this pool. */
  RetryBudget& retry_budget() { return retry_budget_; }
  /** @return budget for hedged calls in this pool. */
  RetryBudget& hedge_budget() { return hedge_budget_; }
  /**
   * @return estimate of the pool's 95th latency percentile, after which a call
   *     is hedged.
   */
  LatencyQuantile& hedge_delay() { return hedge_delay_; }

 private:
  static constexpr double kHedgeQuantile = 0.95;

  std::vector<UpstreamRef> members_;
  std::vector<const UpstreamRef*> eligible_;  ///< Buffer reused by Pick.
  size_t next_round_robin_ = 0;
  RetryBudget retry_budget_;
  RetryBudget hedge_budget_;
  LatencyQuantile hedge_delay_{kHedgeQuantile};
};

}  // namespace turmeric::gateway
