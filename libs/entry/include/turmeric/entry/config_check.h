#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <optional>
#include <vector>

namespace turmeric::entry {

/**
 * Verifies that the configuration in force here is the store's latest before a
 * caller receives a permanent refusal that is based on it. The paths by which
 * changes reach an instance can be interrupted unnoticed; until the
 * interruption is detected, the instance would permanently refuse requests that
 * a newer configuration allows.
 */
class ConfigCheck : public QObject {
 public:
  using Clock = std::chrono::steady_clock;
  /**
   * @param is_latest true: the latest configuration that the store has accepted
   *     is in force here. False: that could not be confirmed.
   */
  using Callback = std::function<void(bool is_latest)>;
  /**
   * Makes one call to the store, and puts the configuration that it returns
   * into force.
   */
  using QueryStore = std::function<void(Callback)>;

  /**
   * @return the time up to which all configurations accepted by the store are
   *     known here without a call.
   */
  using CurrentAt = std::function<Clock::time_point()>;

  /**
   * @param bound time after its acceptance by which a configuration must be in
   *     force.
   * @param current_at see CurrentAt; the objects that it uses must outlive this
   *     object.
   * @param query_store see QueryStore; the objects that it uses must outlive
   *     this object.
   */
  ConfigCheck(std::chrono::milliseconds bound, CurrentAt current_at,
              QueryStore query_store);

  /** @param callback called at once, or within a fraction of a second. */
  void Confirm(Callback callback);

 private:
  void OnAnswer(Clock::time_point queried_at, bool is_latest);
  void FinishAll(bool is_latest);

  std::chrono::milliseconds bound_;
  CurrentAt current_at_;
  QueryStore query_store_;
  std::vector<Callback> pending_;
  bool query_open_ = false;
  /** Time up to which calls of this object confirmed the configuration. */
  Clock::time_point confirmed_at_;
  std::optional<Clock::time_point> failed_at_;
  QTimer timeout_;
};

}  // namespace turmeric::entry
