#pragma once

#include <optional>

#include "turmeric/limits/clock.h"

namespace turmeric::limits {

/** Whether an upstream is brittle, as an answer of it states. */
struct BrittleStatement {
  /** Requests that it can turn away in a second without failing; nullopt: it is
   * not brittle. */
  std::optional<int> tolerated;
  Clock::time_point sent_at;      ///< When the answered request was sent.
  Clock::time_point received_at;  ///< When the answer was received.
};

/**
 * The state of an upstream that may be brittle: it fails when it turns away
 * more than a stated number of requests in a second. The instance that places
 * the requests of all instances on it sends no more than it has slots for,
 * fewer after a refusal.
 */
class BrittleState {
 public:
  /**
   * Applies a statement, unless a later one is known.
   * @param statement see BrittleStatement.
   * @return true if the state has changed.
   */
  bool Apply(const BrittleStatement& statement);
  /**
   * Records that the upstream has turned a request away.
   * @param open requests that are at the upstream, as far as known.
   * @param now current time.
   */
  void OnRefusal(int open, Clock::time_point now);
  /**
   * @param open requests at the upstream. @param slots its slots.
   * @param now current time.
   * @return true if it may receive one more request.
   */
  bool Admits(int open, int slots, Clock::time_point now) const;
  /** @return true if the upstream is brittle. */
  bool is_brittle() const {
    return statement_ && statement_->tolerated.has_value();
  }
  /** @return the statement in force; nullopt: none is known. */
  const std::optional<BrittleStatement>& statement() const {
    return statement_;
  }

 private:
  std::optional<BrittleStatement> statement_;
  /** After a refusal: requests that may be open; grows again with time. */
  std::optional<int> open_limit_;
  Clock::time_point refused_at_;
};

}  // namespace turmeric::limits
