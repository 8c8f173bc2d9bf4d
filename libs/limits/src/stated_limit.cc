#include "turmeric/limits/stated_limit.h"

#include <limits>

namespace turmeric::limits {

namespace {

double RateOf(const LimitStatement& statement) {
  return statement.per_s.value_or(std::numeric_limits<double>::infinity());
}

/** @return true if `a` was certainly made after `b`. */
bool IsLater(const LimitStatement& a, const LimitStatement& b) {
  return a.sent_at > b.received_at;
}

}  // namespace

bool StatedLimit::Apply(const LimitStatement& statement) {
  if (!statement_) {
    if (!statement.per_s) return false;
    statement_ = statement;
    return true;
  }
  if (IsLater(*statement_, statement)) return false;
  const bool replaces = IsLater(statement, *statement_) ||
                        RateOf(statement) <= RateOf(*statement_);
  if (!replaces) return false;
  const bool changes = statement.per_s != statement_->per_s;
  // An equal statement may be received out of order; the later time counts.
  if (changes || statement.received_at > statement_->received_at) {
    statement_ = statement;
  }
  return changes;
}

}  // namespace turmeric::limits
