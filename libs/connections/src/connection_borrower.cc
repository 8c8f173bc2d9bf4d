#include "turmeric/connections/connection_borrower.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>

namespace turmeric::connections {

int ConnectionBorrower::Borrowed(std::string_view upstream,
                                 Clock::time_point now) const {
  const auto it = loans_.find(upstream);
  if (it == loans_.end()) return 0;
  return std::accumulate(it->second.begin(), it->second.end(), 0,
                         [now](int sum, const auto& entry) {
                           return sum + Usable(entry.second, now);
                         });
}

AddressedOrder ConnectionBorrower::Order(const std::string& upstream,
                                         const std::string& lender, Loan& loan,
                                         int wanted, Clock::time_point now) {
  loan.sequence = ++last_sequence_;
  loan.ordered_at = now;
  loan.wanted = wanted;
  loan.open = true;
  return {lender, LoanOrder{.upstream = upstream,
                            .sequence = loan.sequence,
                            .held = loan.held,
                            .wanted = wanted}};
}

std::vector<AddressedOrder> ConnectionBorrower::Extend(
    const std::string& upstream, int wanted,
    std::span<const std::string> lenders, Clock::time_point now) {
  const int missing = wanted - Borrowed(upstream, now);
  if (missing <= 0 || lenders.empty()) return {};
  LoansByLender& loans = loans_[upstream];
  for (auto& [lender, loan] : loans) {
    if (!loan.open) continue;
    if (now - loan.ordered_at < kOrderTimeout) return {};
    loan.refused_until =
        std::max(loan.refused_until, loan.ordered_at + kRefusalPause);
  }
  const size_t first = std::hash<std::string>()(self_) % lenders.size();
  for (size_t i = 0; i < lenders.size(); ++i) {
    const std::string& lender = lenders[(first + i) % lenders.size()];
    Loan& loan = loans[lender];
    if (now < loan.refused_until) continue;
    const int more = Usable(loan, now) + missing;
    return {Order(upstream, lender, loan, std::max(loan.held, more), now)};
  }
  return {};
}

std::vector<AddressedOrder> ConnectionBorrower::Reduce(
    const std::string& upstream, int kept, Clock::time_point now) {
  const auto it = loans_.find(upstream);
  if (it == loans_.end()) return {};
  std::vector<AddressedOrder> orders;
  for (auto& [lender, loan] : it->second) {
    const int keep = std::min(loan.held, std::max(0, kept));
    kept -= keep;
    // An order that was not answered may have been granted.
    const bool unanswered = loan.open && now - loan.ordered_at > kRenewInterval;
    if (keep == loan.held && !(keep == 0 && unanswered)) continue;
    loan.held = keep;
    loan.granted = std::min(loan.granted, keep);
    orders.push_back(Order(upstream, lender, loan, keep, now));
  }
  std::erase_if(it->second, [now](const auto& entry) {
    return entry.second.held == 0 && !entry.second.open &&
           now >= entry.second.refused_until;
  });
  if (it->second.empty()) loans_.erase(it);
  return orders;
}

bool ConnectionBorrower::OnGrant(const std::string& lender,
                                 const LoanGrant& grant,
                                 Clock::time_point now) {
  const auto it = loans_.find(grant.upstream);
  if (it == loans_.end()) return false;
  const auto found = it->second.find(lender);
  if (found == it->second.end()) return false;
  Loan& loan = found->second;
  if (!loan.open || loan.sequence != grant.sequence) return false;
  loan.open = false;
  loan.granted = std::clamp(grant.held, 0, loan.wanted);
  loan.held = std::max(loan.held, loan.granted);
  // The lender counts from a later time.
  loan.valid_until = loan.ordered_at + kLoanValidity;
  loan.refused_until =
      loan.granted < loan.wanted ? now + kRefusalPause : Clock::time_point();
  return true;
}

std::vector<AddressedOrder> ConnectionBorrower::Renew(Clock::time_point now) {
  std::vector<AddressedOrder> orders;
  for (auto& [upstream, loans] : loans_) {
    for (auto& [lender, loan] : loans) {
      const auto interval =
          loan.open ? kLoanValidity / 2 : Clock::duration(kRenewInterval);
      if (loan.held == 0 || now - loan.ordered_at < interval) continue;
      orders.push_back(Order(upstream, lender, loan, loan.held, now));
    }
  }
  return orders;
}

void ConnectionBorrower::OnLenderLost(std::string_view lender) {
  for (auto& [upstream, loans] : loans_) {
    const auto it = loans.find(lender);
    if (it != loans.end() && it->second.held == 0) loans.erase(it);
  }
  std::erase_if(loans_, [](const auto& entry) { return entry.second.empty(); });
}

void ConnectionBorrower::Forget(std::string_view upstream) {
  const auto it = loans_.find(upstream);
  if (it != loans_.end()) loans_.erase(it);
}

bool ConnectionBorrower::MayHoldLoans(std::string_view asker) const {
  return std::ranges::any_of(loans_, [asker](const auto& upstream) {
    return std::ranges::any_of(upstream.second, [asker](const auto& entry) {
      const Loan& loan = entry.second;
      return loan.held > 0 ||
             (entry.first != asker && loan.open && loan.wanted > 0);
    });
  });
}

std::vector<std::string> ConnectionBorrower::Upstreams() const {
  std::vector<std::string> names;
  std::ranges::transform(loans_, std::back_inserter(names),
                         [](const auto& entry) { return entry.first; });
  return names;
}

}  // namespace turmeric::connections
