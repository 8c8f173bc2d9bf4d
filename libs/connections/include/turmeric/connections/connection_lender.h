#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

#include "turmeric/connections/loan.h"

namespace turmeric::connections {

/** Connections to an upstream that a lender may lend. */
struct LendablePart {
  int connections = 0;
  /** False: loans are renewed, but not extended, as an earlier lender may have
   * lent the same connections. */
  bool may_extend = false;
};

/**
 * Lends a part of the connections that upstreams accept to the instances that
 * need more than their own shares. A loan ends when the borrower returns it, or
 * has not renewed it for expiry(). Time is passed in by the caller.
 */
class ConnectionLender {
 public:
  /**
   * Decides on an order.
   * @param borrower identity of the process that orders, "name#start".
   * @param order see LoanOrder.
   * @param part what may be lent of this upstream.
   * @param now current time.
   * @return the loan that the borrower has from now on.
   */
  LoanGrant Decide(const std::string& borrower, const LoanOrder& order,
                   LendablePart part, Clock::time_point now);
  /** Requests that began before may still last longer, so that the expiry does
   * not decrease. @param time for which a request may keep its connection. */
  void SetLongestRequest(std::chrono::milliseconds time);
  /** @return time after which a loan ends unless it is renewed: its validity
   * and the time that an open request may last. */
  std::chrono::milliseconds expiry() const { return expiry_; }
  /** @param upstream process incarnation. @param now current time.
   * @return connections lent. */
  int Lent(const std::string& upstream, Clock::time_point now) const;
  /** Ends the loans of the earlier process of an instance that has started
   * again: the system has closed its connections. @param borrower identity of
   * the new process. */
  void OnProcessStart(const std::string& borrower);
  /** Forgets loans that have ended. @param now current time. */
  void Expire(Clock::time_point now);
  /** @return number of upstreams with loans. */
  size_t size() const { return loans_.size(); }

 private:
  struct Loan {
    int connections = 0;
    uint64_t sequence = 0;
    Clock::time_point renewed_at;
  };
  using LoansByBorrower = std::map<std::string, Loan>;
  /** The processes of an instance. */
  struct Processes {
    std::string current;
    std::string ended;  ///< The one before; its late orders are ignored.
  };

  bool HasEnded(const Loan& loan, Clock::time_point now) const {
    return now - loan.renewed_at > expiry_;
  }
  void EraseEnded(LoansByBorrower& loans, Clock::time_point now) const;

  std::chrono::milliseconds expiry_ = kLoanExpiry;
  std::map<std::string, LoansByBorrower> loans_;  ///< By upstream.
  std::map<std::string, Processes> processes_;    ///< By instance.
};

}  // namespace turmeric::connections
