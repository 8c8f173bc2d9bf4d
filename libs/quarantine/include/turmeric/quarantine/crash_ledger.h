#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "turmeric/quarantine/crash.h"

namespace turmeric::quarantine {

/**
 * Upstreams that ended under each request, wherever in the fleet that was seen.
 * A request under which several ended, and which none of their service has run
 * to its end since, is held to be the cause and is quarantined: its copies are
 * refused. One that only ran beside it is acquitted by its next good run.
 *
 * What two ledgers know can be merged in any order, once or more often, with
 * the same result. Time is passed in.
 */
class CrashLedger {
 public:
  /** @param crash seen here or told by another instance.
   * @return true if it was not known and counts. */
  bool Note(const Crash& crash);
  /** @param run seen here or told by another instance.
   * @return true if it acquits its work of a crash. */
  bool Note(const GoodRun& run);

  /** @param work a fingerprint. @return upstreams that ended under it and that
   * it is not acquitted of. */
  int crashes(std::string_view work) const;
  /** @param work a fingerprint. @return true if an upstream ended as it began
   * to run it, or two while it ran: it is to be run apart from other work under
   * the same suspicion, so that these and the cause part. */
  bool IsSuspect(std::string_view work) const;
  /**
   * @param work a fingerprint. @param now the time.
   * @return how long its copies are still to be refused; nullopt: they are not.
   */
  std::optional<std::chrono::milliseconds> QuarantinedFor(
      std::string_view work, Clock::time_point now) const;

  /** @return the crashes that count, for an instance that knows none. */
  std::vector<Crash> Crashes() const;
  /** @param work a fingerprint. @return the crashes that count against it. */
  std::vector<Crash> CrashesUnder(std::string_view work) const;
  /** @param now the time. @return works in quarantine. */
  size_t quarantined(Clock::time_point now) const;
  /** Forgets what is too old to count. @param now the time. */
  void Expire(Clock::time_point now);
  /** @return works with a crash. */
  size_t size() const { return works_.size(); }

 private:
  struct Work {
    std::map<std::string, Crash> crashes;                ///< By upstream.
    std::map<std::string, Clock::time_point> good_runs;  ///< By service.

    bool Counts(const Crash& crash) const;
    int weight() const;
    /** @return true if the crashes that count may be those of one outage. */
    bool AllAtOneMoment() const;
    std::optional<Clock::time_point> QuarantinedTill() const;
    Clock::time_point last() const;
  };
  struct TextHash {
    using is_transparent = void;
    size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };

  const Work* Find(std::string_view work) const;
  void MakeRoom();

  std::unordered_map<std::string, Work, TextHash, std::equal_to<>> works_;
};

}  // namespace turmeric::quarantine
