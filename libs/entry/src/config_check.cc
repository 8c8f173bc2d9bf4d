#include "turmeric/entry/config_check.h"

#include <QPointer>
#include <algorithm>
#include <utility>

#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using std::chrono::milliseconds;

namespace {

/** Part of the bound reserved for the transit of answers and refusals. */
constexpr milliseconds kTransitMargin{500};
/**
 * Upper bound of the time that a caller waits for the store's answer, which
 * usually takes milliseconds.
 */
constexpr milliseconds kMaxWait{150};
/**
 * Delay before a new call after one has failed: the instances that watch the
 * store already retry while it is unreachable.
 */
constexpr milliseconds kRetryDelay{1000};

}  // namespace

ConfigCheck::ConfigCheck(milliseconds bound, CurrentAt current_at,
                         QueryStore query_store)
    : bound_(bound),
      current_at_(std::move(current_at)),
      query_store_(std::move(query_store)) {
  timeout_.setSingleShot(true);
  connect(&timeout_, &QTimer::timeout, this, [this] { FinishAll(false); });
}

void ConfigCheck::Confirm(Callback callback) {
  const auto now = Clock::now();
  const auto current_at = std::max(confirmed_at_, current_at_());
  if (now < current_at + bound_ - kTransitMargin) return callback(true);
  if (failed_at_ && now < *failed_at_ + kRetryDelay) {
    return callback(false);
  }
  pending_.push_back(std::move(callback));
  if (!timeout_.isActive()) timeout_.start(kMaxWait);
  if (std::exchange(query_open_, true)) return;
  const QPointer<ConfigCheck> self(this);
  query_store_([self, now](bool is_latest) {
    if (self) self->OnAnswer(now, is_latest);
  });
}

void ConfigCheck::OnAnswer(Clock::time_point queried_at, bool is_latest) {
  query_open_ = false;
  if (is_latest) {
    // The answer may lack configurations that were accepted after the call was
    // sent.
    confirmed_at_ = queried_at;
    failed_at_.reset();
  } else {
    failed_at_ = Clock::now();
    utils::DecisionLog("config_not_confirmed").Add("waiting", pending_.size());
  }
  timeout_.stop();
  FinishAll(is_latest);
}

void ConfigCheck::FinishAll(bool is_latest) {
  for (Callback& callback : std::exchange(pending_, {})) callback(is_latest);
}

}  // namespace turmeric::entry
