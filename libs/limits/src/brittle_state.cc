#include "turmeric/limits/brittle_state.h"

#include <algorithm>

namespace turmeric::limits {

using std::chrono::milliseconds;

namespace {

/** Least time in which as many refusals follow each other as an upstream
 * tolerates in a second. */
constexpr milliseconds kRefusalWindow{1500};
/** Time after which one request more may be open than after a refusal. */
constexpr milliseconds kGrowInterval{1000};

}  // namespace

bool BrittleState::Apply(const BrittleStatement& statement) {
  if (!statement_) {
    if (!statement.tolerated) return false;
    statement_ = statement;
    return true;
  }
  const bool same = statement_->tolerated == statement.tolerated;
  if (same) {
    if (statement.received_at > statement_->received_at) {
      statement_ = statement;
    }
    return false;
  }
  // Answers overtake each other: only one to a request that was sent after the
  // known statement is later than it.
  if (statement.sent_at < statement_->received_at) return false;
  statement_ = statement;
  if (!statement.tolerated) open_limit_.reset();
  return true;
}

void BrittleState::OnRefusal(int open, Clock::time_point now) {
  if (!is_brittle()) return;
  refused_at_ = now;
  open_limit_ = std::max(1, open - 1);
}

bool BrittleState::Admits(int open, int slots, Clock::time_point now) const {
  if (!is_brittle()) return true;
  if (!open_limit_) return open < slots;
  const auto since = now - refused_at_;
  const int tolerated = std::max(1, *statement_->tolerated);
  if (since < kRefusalWindow / tolerated) return false;
  const auto grown = static_cast<int>(
      std::min<int64_t>(since / kGrowInterval, static_cast<int64_t>(slots)));
  return open < std::min(slots, *open_limit_ + grown);
}

}  // namespace turmeric::limits
