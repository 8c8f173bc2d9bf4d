#include "turmeric/connections/connection_lender.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace turmeric::connections {

namespace {

/** @return the instance's name in an identity "name#start". */
std::string NameOf(const std::string& identity) {
  return identity.substr(0, identity.rfind('#'));
}

}  // namespace

LoanGrant ConnectionLender::Decide(const std::string& borrower,
                                   const LoanOrder& order, LendablePart part,
                                   Clock::time_point now) {
  const auto processes = processes_.find(NameOf(borrower));
  if (processes != processes_.end() && processes->second.ended == borrower) {
    return {.upstream = order.upstream, .sequence = order.sequence};
  }
  LoansByBorrower& loans = loans_[order.upstream];
  EraseEnded(loans, now);
  Loan& loan = loans[borrower];
  LoanGrant grant{.upstream = order.upstream,
                  .sequence = order.sequence,
                  .held = loan.connections};
  // An order that is overtaken by a later one on another connection.
  if (order.sequence <= loan.sequence) return grant;
  const int held = std::max(0, order.held);
  const int wanted = std::max(0, order.wanted);
  loan = {.connections = 0, .sequence = order.sequence, .renewed_at = now};
  const int available =
      std::max(0, part.connections - Lent(order.upstream, now));
  grant.held = std::min(wanted, part.may_extend ? available : held);
  loan.connections = std::max(grant.held, held);
  return grant;
}

int ConnectionLender::Lent(const std::string& upstream,
                           Clock::time_point now) const {
  const auto it = loans_.find(upstream);
  if (it == loans_.end()) return 0;
  return std::accumulate(
      it->second.begin(), it->second.end(), 0, [&](int sum, const auto& entry) {
        const Loan& loan = entry.second;
        return HasEnded(loan, now) ? sum : sum + loan.connections;
      });
}

void ConnectionLender::OnProcessStart(const std::string& borrower) {
  Processes& processes = processes_[NameOf(borrower)];
  if (borrower == processes.current || borrower == processes.ended) return;
  processes.ended = std::exchange(processes.current, borrower);
  for (auto& [upstream, loans] : loans_) loans.erase(processes.ended);
}

void ConnectionLender::Expire(Clock::time_point now) {
  for (auto& [upstream, loans] : loans_) EraseEnded(loans, now);
  std::erase_if(loans_, [](const auto& entry) { return entry.second.empty(); });
}

void ConnectionLender::EraseEnded(LoansByBorrower& loans,
                                  Clock::time_point now) const {
  std::erase_if(loans,
                [&](const auto& entry) { return HasEnded(entry.second, now); });
}

void ConnectionLender::SetLongestRequest(std::chrono::milliseconds time) {
  expiry_ = std::max(expiry_, kLoanValidity + time + kCloseTime);
}

}  // namespace turmeric::connections
