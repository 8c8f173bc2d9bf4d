#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "turmeric/entry/process_state.h"
#include "turmeric/routing/upstream.h"

namespace turmeric::entry {

struct EntryContext;
struct ReachFinding;
class ReachCheck;
class TunnelPeers;

/**
 * Finds out which upstreams this instance reaches itself, which only through
 * peer instances, and which not at all. A failure on a connection to an
 * upstream starts a check of the path to it. A check that finds a changed path
 * starts checks of some others, so that a partition from all upstreams is known
 * after a few round trips, whereas one upstream that ends costs a few checks.
 * No request is sent as part of a check.
 */
class ReachMonitor : public QObject {
 public:
  /** Called with true repeatedly while this instance reaches no upstream
   * itself, and with false once it reaches one again. */
  using PartitionCallback = std::function<void(bool partitioned)>;

  /** @param context state of this instance; must outlive this object.
   * @param peers the peer instances; must outlive this object. */
  ReachMonitor(EntryContext& context, TunnelPeers& peers);
  ~ReachMonitor() override;

  /** @param callback see PartitionCallback. */
  void set_on_partition(PartitionCallback callback) {
    on_partition_ = std::move(callback);
  }
  /**
   * Checks the path to an upstream, unless it was checked just before.
   * @param upstream the upstream. @param why evidence, for the log.
   */
  void Suspect(const routing::UpstreamPtr& upstream, std::string_view why);
  /**
   * Finds out whether the process of an upstream runs, has ended, or is only
   * out of reach of this instance. Decided by a connection to it, then by the
   * peers; if it is refused and no peer can tell, by whether this instance
   * reaches other upstreams.
   * @param upstream the upstream. @param done called once; never from inside
   *     this call.
   */
  void FindProcessState(const routing::UpstreamPtr& upstream,
                        std::function<void(ProcessState)> done);

 private:
  using FindingCallback = std::function<void(const ReachFinding&)>;
  struct OpenCheck {
    std::unique_ptr<ReachCheck> check;
    std::vector<FindingCallback> callbacks;
  };

  /** @param done called with true if another upstream, preferably of the same
   * zone, accepts a connection. */
  void ReachesNeighbours(const routing::UpstreamPtr& upstream,
                         const std::function<void(bool)>& done);
  void Check(const routing::UpstreamPtr& upstream, bool ask_peers,
             FindingCallback done);
  void OnChecked(const routing::UpstreamPtr& upstream,
                 const ReachFinding& finding);
  void OnPathChanged(const routing::UpstreamPtr& upstream,
                     const routing::CheckResult& result);
  /** Checks some upstreams whose path is not as the one just found. */
  void CheckOthers(const routing::UpstreamPtr& upstream);
  void RecheckDue();
  void UpdatePartitioned();
  /** @return true if any upstream has answered a moment ago. */
  bool AnswersArrive() const;

  EntryContext& context_;
  TunnelPeers& peers_;
  PartitionCallback on_partition_;
  std::map<const routing::Upstream*, OpenCheck> checks_;
  QTimer recheck_timer_;
  QTimer statement_timer_;
  bool partitioned_ = false;  ///< No upstream is reached directly.
};

}  // namespace turmeric::entry
