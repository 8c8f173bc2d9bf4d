#pragma once

#include <QJsonObject>
#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "turmeric/quarantine/crash.h"

namespace turmeric::quarantine {

/** One moment by both clocks: the steady one means nothing to other processes.
 */
struct Moment {
  Clock::time_point steady;
  std::chrono::system_clock::time_point wall;

  /** @return now. */
  static Moment Now() {
    return {Clock::now(), std::chrono::system_clock::now()};
  }
};

/**
 * @param crashes under one work. @param now the time.
 * @return the object that keeps them in the platform's store.
 */
QJsonObject EncodeCrashes(std::span<const Crash> crashes, const Moment& now);

/**
 * @param work the object's name. @param spec its content. @param now the time;
 *     a crash of later than now is dated now.
 * @return the crashes that can be read; nullopt if it is no such object.
 */
std::optional<std::vector<Crash>> DecodeCrashes(const std::string& work,
                                                const QJsonObject& spec,
                                                const Moment& now);

}  // namespace turmeric::quarantine
