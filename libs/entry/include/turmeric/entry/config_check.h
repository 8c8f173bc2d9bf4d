#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <optional>
#include <vector>

namespace turmeric::entry {

/**
 * Finds out whether the configuration in force here is the store's latest,
 * before a caller gets a refusal that is final by it. Changes reach an instance
 * by paths that can be cut without a sign; until that is noticed, it would
 * refuse for good what a newer configuration allows.
 */
class ConfigCheck : public QObject {
 public:
  using Clock = std::chrono::steady_clock;
  /** @param is_latest true: all that the store has accepted is in force here.
   * False: it is not known. */
  using Answer = std::function<void(bool is_latest)>;
  /** Makes one call to the store, and puts what it brings into force. */
  using AskStore = std::function<void(Answer)>;

  /** @param ask_store see AskStore; its answer must not outlive this. */
  explicit ConfigCheck(AskStore ask_store);

  /** @param answer called at once, or within a fraction of a second. */
  void Ask(Answer answer);

 private:
  void OnAnswer(Clock::time_point asked_at, bool is_latest);
  void AnswerAll(bool is_latest);

  AskStore ask_store_;
  std::vector<Answer> waiting_;
  bool asking_ = false;
  std::optional<Clock::time_point> latest_at_;
  std::optional<Clock::time_point> failed_at_;
  QTimer give_up_;
};

}  // namespace turmeric::entry
