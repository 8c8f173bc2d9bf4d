#pragma once

#include <algorithm>

namespace turmeric::gateway {

/**
 * Limits extra calls (retries, hedges) to a share of first attempts, so that
 * they cannot multiply the load on an upstream pool that is already failing.
 */
class RetryBudget {
 public:
  /**
   * Adds the credit of one first attempt.
   * @param percent extra calls allowed per 100 first attempts.
   */
  void OnAttempt(int percent) {
    tokens_ = std::min(kMaxTokens, tokens_ + percent / 100.0);
  }
  /**
   * @param percent extra calls allowed per 100 first attempts; 0 allows none.
   * @return true if an extra call may be sent now; it takes one token.
   */
  bool TrySpend(int percent) {
    if (percent == 0 || tokens_ < 1.0) return false;
    tokens_ -= 1.0;
    return true;
  }

 private:
  static constexpr double kMaxTokens = 20.0;
  /**
   * Initial tokens, so that the first failures after a start can be retried.
   */
  double tokens_ = 3.0;
};

}  // namespace turmeric::gateway
