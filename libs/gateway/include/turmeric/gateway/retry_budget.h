#pragma once

#include <algorithm>

namespace turmeric::gateway {

/**
 * Caps extra calls (retries, hedges) at a share of first attempts, so that
 * they cannot multiply load when an upstream pool is already failing.
 */
class RetryBudget {
 public:
  /** Credits a first attempt. @param percent extra calls allowed per 100. */
  void OnAttempt(int percent) {
    tokens_ = std::min(kMaxTokens, tokens_ + percent / 100.0);
  }
  /**
   * @param percent extra calls allowed per 100; 0 allows none.
   * @return true and spends a token if an extra call may be sent now.
   */
  bool TrySpend(int percent) {
    if (percent == 0 || tokens_ < 1.0) return false;
    tokens_ -= 1.0;
    return true;
  }

 private:
  static constexpr double kMaxTokens = 20.0;
  /** Enough to retry the first failures after a start. */
  double tokens_ = 3.0;
};

}  // namespace turmeric::gateway
