#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "turmeric/entry/process_state.h"
#include "turmeric/entry/upstream_probe.h"
#include "turmeric/quarantine/crash_ledger.h"
#include "turmeric/routing/upstream.h"

namespace turmeric::peer {
struct Frame;
}

namespace turmeric::store {
class ObjectSource;
}

namespace turmeric::entry {

struct EntryContext;
class InstanceLinks;
class QuarantineArchive;

/** A request whose exchange with an upstream ended without a whole answer. */
struct InterruptedRequest {
  quarantine::RequestTraits traits;
  bool progressed = false;  ///< Its answer had been written for a while.
};

/**
 * Quarantines requests that crash their upstreams: records the requests in
 * flight on an upstream that has ended, sends the crashes to all other
 * instances, and keeps the quarantined requests in the platform's store.
 * CrashLedger makes the decisions; this class connects it to the probe of
 * upstreams, the other instances and the store.
 */
class RequestQuarantine : public QObject {
 public:
  /** @param context the instance's state. @param links to the other
   * instances. Both must outlive this. */
  RequestQuarantine(EntryContext& context, InstanceLinks& links);
  ~RequestQuarantine() override;

  /** Begins to use the store. @param source the store; must outlive this.
   * @param kind kind of the objects that hold quarantined requests. */
  void Start(store::ObjectSource& source, std::string kind);

  /**
   * Probes an upstream whose exchanges were interrupted together, and records a
   * crash of each request if the upstream has ended.
   * @param upstream the upstream. @param requests the interrupted requests.
   * @param done called after the crashes have been recorded; kUnknown also if
   *     the probe timed out, without a question to the peers. Never called from
   *     inside this call.
   */
  void OnExchangesBroken(const routing::UpstreamPtr& upstream,
                         std::vector<InterruptedRequest> requests,
                         std::function<void(ProcessState)> done);
  /** Records the good run of a request. @param run the run. @param request_id
   * id of the request, for the log. */
  void OnGoodRun(const quarantine::GoodRun& run, std::string_view request_id);
  /**
   * @param request any.
   * @param is_trial true: the request is itself the trial that shows whether
   * its fault has been fixed.
   * @return time for which the request is still refused; nullopt if it is not
   *     quarantined.
   */
  std::optional<std::chrono::milliseconds> RemainingQuarantine(
      const quarantine::ServiceRequest& request, bool is_trial) const;
  /** As above, for a request of which only the fingerprint matters. */
  std::optional<std::chrono::milliseconds> RemainingQuarantine(
      std::string_view fingerprint) const;
  /**
   * Makes a request the trial of its traits if their quarantine has ended, so
   * that all instances refuse other requests with them for a while.
   * @param request that is sent now. @param request_id its id, for the log.
   * @return true if it is a trial.
   */
  bool BeginTrial(const quarantine::ServiceRequest& request,
                  std::string_view request_id);
  /** @param request that is refused. @return the trait that is the cause. */
  std::string CauseIn(const quarantine::ServiceRequest& request) const;
  /** @param fingerprint of a request. @return true if it must run on another
   * upstream than other suspect requests. */
  bool IsSuspect(std::string_view fingerprint) const;
  /**
   * @param fingerprint of a request.
   * @return number of upstreams that have crashed while running it.
   */
  int crash_count(std::string_view fingerprint) const;

  /** Rewrites recent objects, when the store begins a new era: it has then lost
   * recent writes. */
  void OnNewEra();
  /** Merges the crashes, good runs and trials of another instance. @param
   * source name of the sender. @param frame the frame received. */
  void OnFrame(const std::string& source, const peer::Frame& frame);
  /** Adds the relevant crashes to the first frame for an instance that may have
   * just started. @param frame the frame to extend. */
  void AddKnownCrashes(peer::Frame& frame) const;

 private:
  using Clock = quarantine::Clock;
  /** Service and trait. */
  using ClearedTrait = std::pair<std::string, std::string>;

  void RecordCrashes(const routing::UpstreamEntry& upstream,
                     std::span<const InterruptedRequest> requests,
                     Clock::time_point at);
  bool Record(const quarantine::Crash& crash, std::string_view source);
  void OnStored(std::span<const quarantine::Crash> crashes);
  void SendToPeers(const std::vector<quarantine::Crash>& crashes);
  /** Stores the crashes under the cause of a request's quarantine. */
  void Store(const quarantine::ServiceRequest& request);
  /** Stores the last crashes that this instance has seen, for instances that it
   * does not reach. */
  void StoreOwnCrashes();
  /** @param cleared traits that no longer are the cause of a quarantine. */
  void ForgetQuarantines(std::span<const std::string> cleared);
  void ScheduleCleared();
  void SendCleared();
  void UpdateMetric() const;

  EntryContext& context_;
  InstanceLinks& links_;
  quarantine::CrashLedger ledger_;
  UpstreamProbe probe_;
  std::unique_ptr<QuarantineArchive> archive_;
  /** The last crashes that this instance has seen itself. */
  std::deque<quarantine::Crash> own_crashes_;
  /** Ends of the quarantines in force, by cause, as logged. */
  std::map<std::string, Clock::time_point> quarantined_until_;
  /** Times of the good runs that are to be sent to the other instances. */
  std::map<ClearedTrait, Clock::time_point> unsent_cleared_;
  QTimer cleared_timer_;
  QTimer expire_timer_;
  QTimer isolation_timer_;
};

}  // namespace turmeric::entry
