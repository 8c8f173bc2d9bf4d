#pragma once

namespace turmeric::gateway {

/**
 * Caps retries at a share of first attempts, so that retries cannot
 * multiply load when an upstream pool is already failing.
 */
class RetryBudget {
 public:
  /** Credits a first attempt. @param percent retries allowed per 100. */
  void OnAttempt(int percent) {
    constexpr double kMaxTokens = 20.0;
    tokens_ = tokens_ + percent / 100.0 > kMaxTokens
                  ? kMaxTokens
                  : tokens_ + percent / 100.0;
  }
  /** @return true and spends a token if a retry may be sent now. */
  bool TrySpend() {
    if (tokens_ < 1.0) return false;
    tokens_ -= 1.0;
    return true;
  }

 private:
  double tokens_ = 0.0;
};

}  // namespace turmeric::gateway
