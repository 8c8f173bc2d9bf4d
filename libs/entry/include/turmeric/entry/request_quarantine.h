#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

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
  std::string fingerprint;  ///< Fingerprint of the request.
  bool progressed = false;  ///< Part of its answer had been received.
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
   * @param done called after the crashes have been recorded or the upstream was
   *     found to run; never from inside this call.
   */
  void OnExchangesBroken(const routing::UpstreamPtr& upstream,
                         std::vector<InterruptedRequest> requests,
                         std::function<void()> done);
  /** Records the complete run of a request.
   * @param fingerprint of the request. @param service the upstream's service.
   */
  void OnGoodRun(const std::string& fingerprint, const std::string& service);
  /** @param fingerprint of a request. @return time for which its copies are
   * still refused; nullopt if it is not quarantined. */
  std::optional<std::chrono::milliseconds> RemainingQuarantine(
      std::string_view fingerprint) const;
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
  /** Merges the crashes and good runs of another instance. @param source name
   * of the sender. @param frame the frame received. */
  void OnFrame(const std::string& source, const peer::Frame& frame);
  /** Adds the relevant crashes to the first frame for an instance that may have
   * just started. @param frame the frame to extend. */
  void AddKnownCrashes(peer::Frame& frame) const;

 private:
  using Clock = quarantine::Clock;

  void RecordCrashes(const routing::UpstreamEntry& upstream,
                     std::span<const InterruptedRequest> requests,
                     Clock::time_point at);
  bool Record(const quarantine::Crash& crash, std::string_view source);
  void SendToPeers(const std::vector<quarantine::Crash>& crashes);
  void UpdateMetric() const;

  EntryContext& context_;
  InstanceLinks& links_;
  quarantine::CrashLedger ledger_;
  UpstreamProbe probe_;
  std::unique_ptr<QuarantineArchive> archive_;
  QTimer expire_timer_;
};

}  // namespace turmeric::entry
