#pragma once

#include <QJsonObject>
#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "turmeric/quarantine/crash.h"

namespace turmeric::quarantine {

/** The steady clock and the wall clock read at the same time, to convert
 * between them. Stored times use the wall clock, because other processes cannot
 * interpret the steady clock. */
struct ClockReading {
  Clock::time_point steady;
  std::chrono::system_clock::time_point wall;

  /** @return the current readings. */
  static ClockReading Now() {
    return {Clock::now(), std::chrono::system_clock::now()};
  }
};

/**
 * @param trait fingerprint or prompt part that is the cause of a quarantine.
 * @return name of the object that holds its crashes in the platform's store.
 */
std::string StoredName(const std::string& trait);

/**
 * @param crashes under one trait. @param now current time.
 * @return content of the object that holds them in the platform's store.
 */
QJsonObject EncodeCrashes(std::span<const Crash> crashes,
                          const ClockReading& now);

/**
 * @param name of the object, see StoredName.
 * @param spec content of the object.
 * @param now current time; a crash with a later time gets the current time.
 * @return the readable crashes; nullopt if the object holds no list of them.
 */
std::optional<std::vector<Crash>> DecodeCrashes(const std::string& name,
                                                const QJsonObject& spec,
                                                const ClockReading& now);

}  // namespace turmeric::quarantine
