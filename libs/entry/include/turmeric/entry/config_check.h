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

  /** @return up to when all configurations that the store has accepted are
   * known here without asking. */
  using KnownTo = std::function<Clock::time_point()>;

  /** @param bound a configuration must be in force by then. @param known_to see
   * KnownTo. @param ask_store see AskStore; both must outlive this. */
  ConfigCheck(std::chrono::milliseconds bound, KnownTo known_to,
              AskStore ask_store);

  /** @param answer called at once, or within a fraction of a second. */
  void Ask(Answer answer);

 private:
  void OnAnswer(Clock::time_point asked_at, bool is_latest);
  void AnswerAll(bool is_latest);

  std::chrono::milliseconds bound_;
  KnownTo known_to_;
  AskStore ask_store_;
  std::vector<Answer> waiting_;
  bool asking_ = false;
  Clock::time_point answered_to_;  ///< As KnownTo, by what was asked.
  std::optional<Clock::time_point> failed_at_;
  QTimer give_up_;
};

}  // namespace turmeric::entry
