#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace turmeric::connections {

using Clock = std::chrono::steady_clock;

/** Least time after which a loan ends at its lender unless the borrower renews
 * it; see ConnectionLender::expiry. */
inline constexpr std::chrono::milliseconds kLoanExpiry{32000};
/** Time for which the borrower uses a loan after it ordered or renewed it. */
inline constexpr std::chrono::milliseconds kLoanValidity{8000};
/** Time that connections on a lapsed loan may stay open after their requests
 * have ended: idle ones are closed at intervals. */
inline constexpr std::chrono::milliseconds kCloseTime{4000};

/** Asks a lender for connections to an upstream, renews a loan or returns it.
 */
struct LoanOrder {
  std::string upstream;   ///< Process incarnation.
  uint64_t sequence = 0;  ///< Increases with each order of the borrower.
  /** Connections that the borrower may have open on loans of the lender: those
   * of lapsed or reduced loans count until they are closed. */
  int held = 0;
  int wanted = 0;  ///< Connections that it wants of it in all.
};

/** Answers a LoanOrder. */
struct LoanGrant {
  std::string upstream;   ///< Process incarnation.
  uint64_t sequence = 0;  ///< Of the order.
  int held = 0;           ///< Connections that the borrower may open.
};

}  // namespace turmeric::connections
