#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/connections/loan.h"

namespace turmeric::connections {

/** An order and the lender that it goes to. */
struct AddressedOrder {
  std::string lender;
  LoanOrder order;
};

/**
 * The connections to upstreams that an instance borrows beyond its own share.
 * Orders one lender at a time for each upstream, and the next one if a lender
 * grants less than wanted or does not answer. Time is passed in by the caller.
 */
class ConnectionBorrower {
 public:
  /** Interval at which loans are renewed. */
  static constexpr std::chrono::milliseconds kRenewInterval{2000};
  /** A lender that does not answer within this time is passed over. */
  static constexpr std::chrono::milliseconds kOrderTimeout{150};
  /** Time for which a lender that granted less than wanted, or did not answer,
   * is not asked for more. */
  static constexpr std::chrono::milliseconds kRefusalPause{500};

  /** @param self name of this instance; instances begin with different
   * lenders. */
  explicit ConnectionBorrower(std::string self) : self_(std::move(self)) {}

  /** @param upstream process incarnation. @param now current time.
   * @return connections borrowed that may be used now. */
  int Borrowed(std::string_view upstream, Clock::time_point now) const;
  /**
   * Extends the loans of an upstream towards a number of connections.
   * @param upstream process incarnation.
   * @param wanted connections wanted in all.
   * @param lenders of the upstream's service.
   * @param now current time.
   * @return orders to send, at most one.
   */
  std::vector<AddressedOrder> Extend(const std::string& upstream, int wanted,
                                     std::span<const std::string> lenders,
                                     Clock::time_point now);
  /**
   * Returns what exceeds a number of connections.
   * @param upstream process incarnation.
   * @param kept connections kept in all, at least those that are open.
   * @param now current time.
   * @return orders to send.
   */
  std::vector<AddressedOrder> Reduce(const std::string& upstream, int kept,
                                     Clock::time_point now);
  /** Applies a grant. @param lender that granted it. @param grant see
   * LoanGrant. @param now current time.
   * @return true if it is the answer to the last order to this lender. */
  bool OnGrant(const std::string& lender, const LoanGrant& grant,
               Clock::time_point now);
  /** @param now current time. @return orders that renew the loans. */
  std::vector<AddressedOrder> Renew(Clock::time_point now);
  /** Drops the open orders of a lender. Its loans stay until their validity
   * ends. @param lender whose connection has ended. */
  void OnLenderLost(std::string_view lender);
  /** @param upstream process incarnation that has ended. */
  void Forget(std::string_view upstream);
  /** @return upstreams with loans or open orders. */
  std::vector<std::string> Upstreams() const;
  bool empty() const { return loans_.empty(); }
  /** @param asker a lender that has not granted the orders which are open at
   * it. @return true if connections on loan may be open now, or after the
   * answer to an open order at another lender. */
  bool MayHoldLoans(std::string_view asker) const;

 private:
  /** A loan of one lender, or an order for it. */
  struct Loan {
    int granted = 0;
    Clock::time_point valid_until;
    /** Connections that may be open: those granted, and those of earlier grants
     * until Reduce. */
    int held = 0;
    uint64_t sequence = 0;  ///< Of the last order.
    Clock::time_point ordered_at;
    int wanted = 0;     ///< By the last order.
    bool open = false;  ///< The last order is not answered.
    Clock::time_point refused_until;
  };
  using LoansByLender = std::map<std::string, Loan, std::less<>>;

  static int Usable(const Loan& loan, Clock::time_point now) {
    return now < loan.valid_until ? loan.granted : 0;
  }
  AddressedOrder Order(const std::string& upstream, const std::string& lender,
                       Loan& loan, int wanted, Clock::time_point now);

  std::string self_;
  uint64_t last_sequence_ = 0;
  std::map<std::string, LoansByLender, std::less<>> loans_;  ///< By upstream.
};

}  // namespace turmeric::connections
