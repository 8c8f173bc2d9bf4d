#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace turmeric::connections {

using Clock = std::chrono::steady_clock;

/** Time after which a loan ends at its lender unless the borrower renews it. It
 * exceeds kLoanValidity by the time that an open request may last. */
inline constexpr std::chrono::milliseconds kLoanExpiry{32000};
/** Time for which the borrower uses a loan after it ordered or renewed it. */
inline constexpr std::chrono::milliseconds kLoanValidity{8000};

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
