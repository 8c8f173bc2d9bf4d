#pragma once

#include <optional>

#include "turmeric/limits/limit_statement.h"

namespace turmeric::limits {

/**
 * The request rate limit of one upstream process, according to its answers.
 * Answers on different connections may overtake each other, and instances pass
 * statements on with a delay. A statement therefore replaces another one if it
 * was certainly made later, that is, if its request was sent after the answer
 * with the other one was received. Of two statements whose order is unknown,
 * the stricter one is in force.
 */
class StatedLimit {
 public:
  /**
   * Applies a statement.
   * @param statement from an answer of the upstream.
   * @return true if the limit in force has changed.
   */
  bool Apply(const LimitStatement& statement);

  /** @return requests per second; nullopt: no limit is in force. */
  std::optional<double> per_s() const {
    return statement_ ? statement_->per_s : std::nullopt;
  }
  /** @return the statement in force; nullopt: no answer has stated a limit. */
  const std::optional<LimitStatement>& statement() const { return statement_; }

 private:
  std::optional<LimitStatement> statement_;
};

}  // namespace turmeric::limits
