#include "turmeric/connections/connection_lender.h"

#include <catch2/catch.hpp>

namespace turmeric::connections {
namespace {

using std::chrono::milliseconds;

constexpr LendablePart kPart{.connections = 10, .may_extend = true};

LoanOrder Order(uint64_t sequence, int held, int wanted) {
  return {
      .upstream = "u", .sequence = sequence, .held = held, .wanted = wanted};
}

TEST_CASE("loans of all borrowers stay within the part") {
  ConnectionLender lender;
  const Clock::time_point now;
  CHECK(lender.Decide("a", Order(1, 0, 7), kPart, now).held == 7);
  CHECK(lender.Decide("b", Order(1, 0, 7), kPart, now).held == 3);
  CHECK(lender.Decide("a", Order(2, 7, 9), kPart, now).held == 7);
  CHECK(lender.Lent("u", now) == 10);
}

TEST_CASE("a returned loan is lent again") {
  ConnectionLender lender;
  const Clock::time_point now;
  lender.Decide("a", Order(1, 0, 10), kPart, now);
  CHECK(lender.Decide("a", Order(2, 2, 2), kPart, now).held == 2);
  CHECK(lender.Decide("b", Order(1, 0, 9), kPart, now).held == 8);
}

TEST_CASE("a loan that is not renewed is lent again after its expiry only") {
  ConnectionLender lender;
  const Clock::time_point start;
  lender.Decide("a", Order(1, 0, 10), kPart, start);
  CHECK(lender.Decide("b", Order(1, 0, 4), kPart, start + kLoanExpiry).held ==
        0);
  const auto later = start + kLoanExpiry + milliseconds(1);
  CHECK(lender.Decide("b", Order(2, 0, 4), kPart, later).held == 4);
  lender.Expire(later + kLoanExpiry + milliseconds(1));
  CHECK(lender.size() == 0);
}

// Guards against connections that are lent again while requests with a long
// timeout use them.
TEST_CASE("a loan lasts as long as a request may keep its connection") {
  ConnectionLender lender;
  const Clock::time_point start;
  lender.SetLongestRequest(milliseconds(60'000));
  lender.Decide("a", Order(1, 0, 10), kPart, start);
  CHECK(lender.Lent("u", start + kLoanValidity + milliseconds(60'000)) == 10);
  const auto expiry = lender.expiry();
  lender.SetLongestRequest(milliseconds(6000));
  CHECK(lender.expiry() == expiry);
}

TEST_CASE("a renewed loan does not expire") {
  ConnectionLender lender;
  const Clock::time_point start;
  lender.Decide("a", Order(1, 0, 10), kPart, start);
  lender.Decide("a", Order(2, 10, 10), kPart, start + kLoanExpiry);
  CHECK(lender.Lent("u", start + 2 * kLoanExpiry) == 10);
}

TEST_CASE("an order overtaken by a later one changes nothing") {
  ConnectionLender lender;
  const Clock::time_point now;
  lender.Decide("a", Order(2, 0, 6), kPart, now);
  CHECK(lender.Decide("a", Order(1, 0, 1), kPart, now).held == 6);
  CHECK(lender.Lent("u", now) == 6);
}

TEST_CASE("a restarted lender renews loans and does not extend them") {
  ConnectionLender lender;
  const Clock::time_point now;
  const LendablePart part{.connections = 10, .may_extend = false};
  CHECK(lender.Decide("a", Order(5, 4, 8), part, now).held == 4);
  CHECK(lender.Decide("b", Order(1, 0, 2), part, now).held == 0);
}

TEST_CASE("an instance that is no lender any more ends its loans") {
  ConnectionLender lender;
  const Clock::time_point now;
  lender.Decide("a", Order(1, 0, 6), kPart, now);
  const LendablePart none{.connections = 0, .may_extend = true};
  CHECK(lender.Decide("a", Order(2, 6, 6), none, now).held == 0);
}

// Guards against connections that are lent again while their borrower has them
// open.
TEST_CASE("connections of a reduced loan are lent again once returned") {
  ConnectionLender lender;
  const Clock::time_point now;
  const LendablePart smaller{.connections = 7, .may_extend = true};
  lender.Decide("a", Order(1, 0, 10), kPart, now);
  CHECK(lender.Decide("a", Order(2, 10, 10), smaller, now).held == 7);
  CHECK(lender.Lent("u", now) == 10);
  CHECK(lender.Decide("b", Order(1, 0, 2), smaller, now).held == 0);
  lender.Decide("a", Order(3, 5, 5), smaller, now);
  CHECK(lender.Decide("b", Order(2, 0, 2), smaller, now).held == 2);
}

TEST_CASE("the loans of a process that has ended are lent again at once") {
  ConnectionLender lender;
  const Clock::time_point now;
  lender.OnProcessStart("a#1");
  lender.Decide("a#1", Order(1, 0, 8), kPart, now);
  lender.OnProcessStart("a#2");
  // Frames of the earlier process may be read late.
  lender.OnProcessStart("a#1");
  CHECK(lender.Decide("a#1", Order(2, 0, 8), kPart, now).held == 0);
  CHECK(lender.Decide("a#2", Order(1, 0, 10), kPart, now).held == 10);
}

TEST_CASE("negative numbers in an order count as 0") {
  ConnectionLender lender;
  const Clock::time_point now;
  CHECK(lender.Decide("a", Order(1, -3, -5), kPart, now).held == 0);
}

}  // namespace
}  // namespace turmeric::connections
