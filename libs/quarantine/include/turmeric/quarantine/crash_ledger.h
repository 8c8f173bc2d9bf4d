#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "turmeric/quarantine/crash.h"
#include "turmeric/quarantine/request_traits.h"

namespace turmeric::quarantine {

struct PossibleCause;

/** A request and the service that is to run it. */
struct ServiceRequest {
  const RequestTraits& traits;
  /** Crashes of prompt parts count at the same service only; empty: not chosen
   * yet, so that only the fingerprint counts. */
  std::string_view service;
};

/**
 * Records the upstreams that crashed, as reported by any instance of the fleet,
 * with the traits (fingerprint and prompt parts) of the requests that were in
 * flight to them. A request is refused once the crashes under its traits are
 * not likely to have other causes, see CheapestExplanation. A harmless request
 * is cleared by a good run of a request with its traits at the same service.
 *
 * Records can be merged from other ledgers in any order and repeatedly, with
 * the same result. The current time is passed in.
 */
class CrashLedger {
 public:
  /** @param crash observed by this instance or received from another one.
   * @return true if the crash is newly recorded and is later than the last
   * good run with the fingerprint or one of the parts at the same service. */
  bool Record(const Crash& crash);
  /** @param run observed by this instance or received from another one.
   * @return the traits with recorded crashes that no longer count because of
   * this run. */
  std::vector<std::string> Record(const GoodRun& run);
  /** @param trial begun by this instance or by another one. */
  void Record(const Trial& trial);

  /** @param fingerprint of a request. @return number of its crashes that
   * count: those after its last complete run at the same service. */
  int crash_count(std::string_view fingerprint) const;
  /** @param fingerprint of a request. @return true if at least one upstream
   * crashed as it began to answer, or at least two later.
   * Suspect requests are sent to different upstreams, so that harmless ones do
   * not run next to the request that causes the crashes. */
  bool IsSuspect(std::string_view fingerprint) const;
  /**
   * @param request to be refused or sent. @param now current time.
   * @return time for which it is still refused; nullopt if it is not
   *     quarantined.
   */
  std::optional<std::chrono::milliseconds> RemainingQuarantine(
      const ServiceRequest& request, Clock::time_point now) const;
  /** As above, for a request of which only the fingerprint matters. */
  std::optional<std::chrono::milliseconds> RemainingQuarantine(
      std::string_view fingerprint, Clock::time_point now) const;
  /** @param request whose quarantine has ended. @param now current time.
   * @return time for which it is refused because another request is the trial
   * that shows whether its fault has been fixed; nullopt: there is none. */
  std::optional<std::chrono::milliseconds> RemainingTrial(
      const ServiceRequest& request, Clock::time_point now) const;
  /** @param request to be sent. @param now current time.
   * @return the trait of which the request is to be the trial; nullopt: it is
   * none. */
  std::optional<std::string> TrialOf(const ServiceRequest& request,
                                     Clock::time_point now) const;
  /** @param request with crashes. @return its trait with most crashes that
   * count; of several, the one that fewest requests had, as popular parts run
   * on most upstreams, then the first by name; empty: none. */
  std::string CauseIn(const ServiceRequest& request) const;
  /** @param request any. @return the newest records of crashes under its trait
   * with most crashes (see CauseIn), with the parts that count; at most 16.
   * Those of its other traits could crowd out the evidence. */
  std::vector<Crash> CrashesUnder(const ServiceRequest& request) const;
  /** @return the newest records of crashes with a trait under which several
   * upstreams crashed, with the parts that count; at most 256. */
  std::vector<Crash> RecurringCrashes() const;
  /** @param trait any. @return time of its last recorded crash. */
  Clock::time_point last_crash_at(std::string_view trait) const;

  /** Drops expired records, some of them if there are many. @param now current
   * time. */
  void Expire(Clock::time_point now);
  /** @return number of fingerprints and prompt parts with a recorded crash. */
  size_t size() const { return traits_.size(); }

 private:
  struct StringHash {
    using is_transparent = void;
    size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };
  /** A crash under one fingerprint or prompt part. */
  struct TraitCrash {
    std::string service;
    Clock::time_point at;
    int weight = 0;
    int requests = 0;  ///< That had the trait.
  };
  /** Crashes and good runs of one fingerprint or prompt part. */
  struct TraitRecord {
    std::map<std::string, TraitCrash> crashes;  ///< By upstream.
    /** Times of the last good runs, by service. */
    std::map<std::string, Clock::time_point> good_runs;
    Clock::time_point trial_at;

    /** @return true if no later good run at the service is known. */
    bool Counts(const std::string& service, Clock::time_point at) const;
  };
  /** A crash that counts against a request. */
  struct CountedCrash {
    std::string_view upstream;
    int weight = 0;
    int requests = 0;  ///< That had the trait.
    Clock::time_point at;
  };
  /** What the recorded crashes mean for a request. */
  struct Verdict {
    Clock::time_point until;  ///< End of the quarantine.
    bool allows_trial = false;
  };
  using RecordKey = std::tuple<Clock::time_point, std::string, std::string>;

  const TraitRecord* Find(std::string_view trait) const;
  /** @return the crashes that count against a trait. @param service of the
   * upstreams; empty: any. */
  std::vector<CountedCrash> CountedCrashes(std::string_view trait,
                                           std::string_view service) const;
  /** @return the crashes that count against any trait of the request, the last
   * ones, by time. */
  std::vector<CountedCrash> CountedCrashes(const ServiceRequest& request) const;
  /** @return true if the trait of a recorded crash counts. */
  bool Counts(std::string_view trait, const Crash& crash) const;
  /**
   * @param upstream that crashed. @param traits of the request under suspicion.
   * @param weight sum of the weights of all crashes under it.
   * @return the other traits that may have caused the crash: those that came
   *     in one request with the suspicious ones, and, unless a copy of the
   *     request itself was running there, those of other requests with more
   *     crashes.
   */
  std::vector<PossibleCause> OtherCauses(std::string_view upstream,
                                         const RequestTraits& traits,
                                         int weight) const;
  /** @return sum of the weights of the crashes that count against a trait. */
  int WeightUnder(std::string_view trait) const;
  std::optional<Verdict> VerdictOn(const ServiceRequest& request) const;
  /** @return the crash with those of its parts that have no later good run. A
   * ledger that receives it need not know the good runs. */
  Crash WithCountedParts(const Crash& crash) const;
  bool IsExpired(const Crash& crash, Clock::time_point now) const;
  void Erase(const RecordKey& key);
  void EvictIfFull();

  /** By upstream and fingerprint. */
  std::map<std::string, std::map<std::string, Crash>, std::less<>> crashes_;
  std::unordered_map<std::string, TraitRecord, StringHash, std::equal_to<>>
      traits_;
  std::set<RecordKey> order_;  ///< Records by time.
};

}  // namespace turmeric::quarantine
