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

/** A request whose exchange with an upstream broke off. */
struct BrokenRequest {
  std::string work;         ///< Its fingerprint.
  bool progressed = false;  ///< Part of its answer had come.
};

/**
 * Keeps requests that end the upstreams which run them away from these: notes
 * what ran on an upstream that ended, tells all other instances, and keeps in
 * the platform's store what is quarantined. Joins CrashLedger, which decides,
 * with the connections.
 */
class WorkQuarantine : public QObject {
 public:
  /** @param context the instance's state. @param links to the other
   * instances. Both must outlive this. */
  WorkQuarantine(EntryContext& context, InstanceLinks& links);
  ~WorkQuarantine() override;

  /** Begins to use the store. @param source the store; must outlive this.
   * @param kind of the objects that hold quarantined work. */
  void Start(store::ObjectSource& source, std::string kind);

  /**
   * Exchanges with one upstream broke off together.
   * @param upstream where. @param requests what it had.
   * @param done called once it is known whether the upstream has ended, and
   *     QuarantinedFor says what follows; never from inside this call.
   */
  void OnBrokenOff(const routing::UpstreamPtr& upstream,
                   std::vector<BrokenRequest> requests,
                   std::function<void()> done);
  /** An upstream has run a request to its end.
   * @param work its fingerprint. @param service the upstream's. */
  void OnGoodRun(const std::string& work, const std::string& service);
  /** @param work a fingerprint. @return how long its copies are to be refused;
   * nullopt: they are not. */
  std::optional<std::chrono::milliseconds> QuarantinedFor(
      std::string_view work) const;
  /** @param work a fingerprint. @return true if it is to be kept apart from
   * other work under the same suspicion. */
  bool IsSuspect(std::string_view work) const;
  /** @param work a fingerprint. @return upstreams that have ended under it. */
  int crashes(std::string_view work) const;

  /** The store has lost what was written to it lately. */
  void OnNewEra();
  /** @param source who sent it. @param frame another instance's news. */
  void OnFrame(const std::string& source, const peer::Frame& frame);
  /** @param frame the first to an instance that may have just started: gets
   * all that it should know. */
  void Introduce(peer::Frame& frame) const;

 private:
  using Clock = quarantine::Clock;

  void NoteCrashes(const routing::UpstreamEntry& upstream,
                   std::span<const BrokenRequest> requests,
                   Clock::time_point at);
  bool Note(const quarantine::Crash& crash, std::string_view source);
  void TellOthers(const std::vector<quarantine::Crash>& crashes);
  void SetMetric() const;

  EntryContext& context_;
  InstanceLinks& links_;
  quarantine::CrashLedger ledger_;
  UpstreamProbe probe_;
  std::unique_ptr<QuarantineArchive> archive_;
  QTimer expire_;
};

}  // namespace turmeric::entry
