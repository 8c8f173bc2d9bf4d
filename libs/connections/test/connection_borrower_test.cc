#include "turmeric/connections/connection_borrower.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace turmeric::connections {
namespace {

using std::chrono::milliseconds;

const std::vector<std::string> kLenders = {"x", "y", "z"};

LoanGrant Grant(const AddressedOrder& order, int held) {
  return {.upstream = order.order.upstream,
          .sequence = order.order.sequence,
          .held = held};
}

/** Extends the loans and grants what is wanted. */
AddressedOrder Borrow(ConnectionBorrower& borrower, int wanted,
                      Clock::time_point now) {
  const auto orders = borrower.Extend("u", wanted, kLenders, now);
  REQUIRE(orders.size() == 1);
  borrower.OnGrant(orders[0].lender, Grant(orders[0], orders[0].order.wanted),
                   now);
  return orders[0];
}

TEST_CASE("a granted loan may be used while it is valid") {
  ConnectionBorrower borrower("a");
  const Clock::time_point now = Clock::now();
  CHECK(borrower.Borrowed("u", now) == 0);
  Borrow(borrower, 5, now);
  CHECK(borrower.Borrowed("u", now) == 5);
  CHECK(borrower.Borrowed("u", now + kLoanValidity) == 0);
}

TEST_CASE("one lender is asked at a time, and the next one for the rest") {
  ConnectionBorrower borrower("a");
  const Clock::time_point now = Clock::now();
  const auto first = borrower.Extend("u", 5, kLenders, now);
  REQUIRE(first.size() == 1);
  CHECK(borrower.Extend("u", 5, kLenders, now).empty());
  CHECK(borrower.OnGrant(first[0].lender, Grant(first[0], 2), now));
  const auto second = borrower.Extend("u", 5, kLenders, now);
  REQUIRE(second.size() == 1);
  CHECK(second[0].lender != first[0].lender);
  CHECK(second[0].order.wanted == 3);
}

TEST_CASE("a lender that does not answer is passed over") {
  ConnectionBorrower borrower("a");
  const Clock::time_point now = Clock::now();
  const auto first = borrower.Extend("u", 5, kLenders, now);
  const auto later = now + ConnectionBorrower::kOrderTimeout;
  const auto second = borrower.Extend("u", 5, kLenders, later);
  REQUIRE(second.size() == 1);
  CHECK(second[0].lender != first[0].lender);
  // Its late answer counts, as it has lent the connections.
  CHECK(borrower.OnGrant(first[0].lender, Grant(first[0], 5), later));
  CHECK(borrower.Borrowed("u", later) == 5);
}

TEST_CASE("no lender is asked while all have refused") {
  ConnectionBorrower borrower("a");
  const Clock::time_point now = Clock::now();
  for (size_t i = 0; i < kLenders.size(); ++i) {
    const auto orders = borrower.Extend("u", 5, kLenders, now);
    REQUIRE(orders.size() == 1);
    borrower.OnGrant(orders[0].lender, Grant(orders[0], 0), now);
  }
  CHECK(borrower.Extend("u", 5, kLenders, now).empty());
  CHECK(
      borrower.Extend("u", 5, kLenders, now + ConnectionBorrower::kRefusalPause)
          .size() == 1);
}

TEST_CASE("the answer to an earlier order is ignored") {
  ConnectionBorrower borrower("a");
  const Clock::time_point now = Clock::now();
  const auto first = Borrow(borrower, 5, now);
  REQUIRE(borrower.Reduce("u", 1, now).size() == 1);
  CHECK_FALSE(borrower.OnGrant(first.lender, Grant(first, 5), now));
  CHECK(borrower.Borrowed("u", now) == 1);
}

TEST_CASE("a grant beyond the order is not used") {
  ConnectionBorrower borrower("a");
  const Clock::time_point now = Clock::now();
  const auto orders = borrower.Extend("u", 5, kLenders, now);
  borrower.OnGrant(orders[0].lender, Grant(orders[0], 50), now);
  CHECK(borrower.Borrowed("u", now) == 5);
}

TEST_CASE("loans are renewed until they are returned") {
  ConnectionBorrower borrower("a");
  const Clock::time_point now = Clock::now();
  Borrow(borrower, 5, now);
  CHECK(borrower.Renew(now).empty());
  const auto later = now + ConnectionBorrower::kRenewInterval;
  const auto renewals = borrower.Renew(later);
  REQUIRE(renewals.size() == 1);
  CHECK(renewals[0].order.held == 5);
  CHECK(renewals[0].order.wanted == 5);
  borrower.OnGrant(renewals[0].lender, Grant(renewals[0], 5), later);
  CHECK(borrower.Borrowed("u", now + kLoanValidity) == 5);
  const auto returned = borrower.Reduce("u", 0, later);
  REQUIRE(returned.size() == 1);
  CHECK(returned[0].order.wanted == 0);
  CHECK(borrower.Renew(later + ConnectionBorrower::kRenewInterval).empty());
}

// Guards against connections that are lent twice after a partition.
TEST_CASE("a lapsed loan is ordered again as long as it may be in use") {
  ConnectionBorrower borrower("a");
  const Clock::time_point now = Clock::now();
  const auto granted = Borrow(borrower, 5, now);
  const auto later = now + kLoanValidity;
  CHECK(borrower.Borrowed("u", later) == 0);
  const std::vector<std::string> lenders = {granted.lender};
  const auto again = borrower.Extend("u", 2, lenders, later);
  REQUIRE(again.size() == 1);
  CHECK(again[0].order.held == 5);
  CHECK(again[0].order.wanted == 5);
  const auto returned = borrower.Reduce("u", 3, later);
  REQUIRE(returned.size() == 1);
  CHECK(returned[0].order.held == 3);
  CHECK(borrower.Borrowed("u", later) == 0);
}

// Guards against the use of connections that the lender has taken back.
TEST_CASE("a smaller grant bounds the use, not what is stated as held") {
  ConnectionBorrower borrower("a");
  const Clock::time_point now = Clock::now();
  const auto granted = Borrow(borrower, 5, now);
  const auto later = now + ConnectionBorrower::kRenewInterval;
  const auto renewals = borrower.Renew(later);
  REQUIRE(renewals.size() == 1);
  borrower.OnGrant(granted.lender, Grant(renewals[0], 2), later);
  CHECK(borrower.Borrowed("u", later) == 2);
  const auto next = borrower.Renew(later + ConnectionBorrower::kRenewInterval);
  REQUIRE(next.size() == 1);
  CHECK(next[0].order.held == 5);
}

TEST_CASE("the orders of a lost lender are dropped, its loans are kept") {
  ConnectionBorrower borrower("a");
  const Clock::time_point now = Clock::now();
  const auto orders = borrower.Extend("u", 5, kLenders, now);
  borrower.OnLenderLost(orders[0].lender);
  CHECK(borrower.empty());
  const auto granted = Borrow(borrower, 5, now);
  borrower.OnLenderLost(granted.lender);
  CHECK(borrower.Borrowed("u", now) == 5);
}

}  // namespace
}  // namespace turmeric::connections
