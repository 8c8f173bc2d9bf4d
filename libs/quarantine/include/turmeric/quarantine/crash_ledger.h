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
 * Records, by request fingerprint, the upstreams that crashed while the request
 * was in flight to them, as reported by any instance of the fleet. If several
 * upstreams crashed and no upstream of their service has completed the request
 * since, the ledger treats the request as the cause and quarantines it:
 * requests with the same fingerprint are refused. A harmless request that was
 * in flight to the same upstreams is cleared by its next complete run.
 *
 * Records can be merged from other ledgers in any order and repeatedly, with
 * the same result. The current time is passed in.
 */
class CrashLedger {
 public:
  /** @param crash observed by this instance or received from another one.
   * @return true if the crash is newly recorded and is later than the last
   * complete run of its request at the same service. */
  bool Record(const Crash& crash);
  /** @param run observed by this instance or received from another one.
   * @return true if recorded crashes of the request no longer count because of
   * this run. */
  bool Record(const GoodRun& run);

  /** @param fingerprint of a request. @return number of its crashes that count,
   * see CrashesOf. */
  int crash_count(std::string_view fingerprint) const;
  /** @param fingerprint of a request. @return true if at least one upstream
   * crashed before the first part of the answer, or at least two after it.
   * Suspect requests are sent to different upstreams, so that harmless ones do
   * not run next to the request that causes the crashes. */
  bool IsSuspect(std::string_view fingerprint) const;
  /**
   * @param fingerprint of a request. @param now current time.
   * @return time for which its copies are still refused; nullopt if it is not
   *     quarantined.
   */
  std::optional<std::chrono::milliseconds> RemainingQuarantine(
      std::string_view fingerprint, Clock::time_point now) const;

  /** @return all crashes that count, of any request; see CrashesOf. */
  std::vector<Crash> AllCrashes() const;
  /** @param fingerprint of a request. @return its crashes that count: those
   * after its last complete run at the same service. */
  std::vector<Crash> CrashesOf(std::string_view fingerprint) const;
  /** @param now current time. @return number of quarantined requests. */
  size_t quarantined_count(Clock::time_point now) const;
  /** Drops expired records. @param now current time. */
  void Expire(Clock::time_point now);
  /** @return number of requests with a recorded crash. */
  size_t size() const { return records_.size(); }

 private:
  struct RequestRecord {
    std::map<std::string, Crash> crashes;  ///< By upstream.
    /** Times of the last complete runs, by service. */
    std::map<std::string, Clock::time_point> good_runs;

    /** @return true if no upstream of the same service has completed the
     * request since the crash. */
    bool Counts(const Crash& crash) const;
    /** @return sum of the weights of the crashes that count. */
    int total_weight() const;
    /** @return true if one outage may have caused all crashes that count. */
    bool AreSimultaneous() const;
    std::optional<Clock::time_point> QuarantinedUntil() const;
    /** @return time of the last crash. */
    Clock::time_point last_crash_at() const;
  };
  struct StringHash {
    using is_transparent = void;
    size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };

  const RequestRecord* Find(std::string_view fingerprint) const;
  void EvictOldestIfFull();

  std::unordered_map<std::string, RequestRecord, StringHash, std::equal_to<>>
      records_;
};

}  // namespace turmeric::quarantine
