#include "turmeric/entry/config_check.h"

#include <QPointer>
#include <algorithm>
#include <utility>

#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using std::chrono::milliseconds;

namespace {

/** Part of the bound kept for the way of answers and of refusals. */
constexpr milliseconds kTravels{500};
/** A caller waits no longer for the store's answer, which takes milliseconds.
 */
constexpr milliseconds kLongestWait{150};
/** Pause after a call that failed: a store that is away is asked by each
 * instance already. */
constexpr milliseconds kPauseAfterFailure{1000};

}  // namespace

ConfigCheck::ConfigCheck(milliseconds bound, KnownTo known_to,
                         AskStore ask_store)
    : bound_(bound),
      known_to_(std::move(known_to)),
      ask_store_(std::move(ask_store)) {
  give_up_.setSingleShot(true);
  connect(&give_up_, &QTimer::timeout, this, [this] { AnswerAll(false); });
}

void ConfigCheck::Ask(Answer answer) {
  const auto now = Clock::now();
  const auto known_to = std::max(answered_to_, known_to_());
  if (now < known_to + bound_ - kTravels) return answer(true);
  if (failed_at_ && now < *failed_at_ + kPauseAfterFailure) {
    return answer(false);
  }
  waiting_.push_back(std::move(answer));
  if (!give_up_.isActive()) give_up_.start(kLongestWait);
  if (std::exchange(asking_, true)) return;
  const QPointer<ConfigCheck> self(this);
  ask_store_([self, now](bool is_latest) {
    if (self) self->OnAnswer(now, is_latest);
  });
}

void ConfigCheck::OnAnswer(Clock::time_point asked_at, bool is_latest) {
  asking_ = false;
  if (is_latest) {
    // What was accepted after the question may not be in the answer.
    answered_to_ = asked_at;
    failed_at_.reset();
  } else {
    failed_at_ = Clock::now();
    utils::DecisionLog("config_not_confirmed").Add("waiting", waiting_.size());
  }
  give_up_.stop();
  AnswerAll(is_latest);
}

void ConfigCheck::AnswerAll(bool is_latest) {
  for (Answer& answer : std::exchange(waiting_, {})) answer(is_latest);
}

}  // namespace turmeric::entry
