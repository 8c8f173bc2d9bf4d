#include "turmeric/entry/reach_monitor.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "details/connect_any.h"
#include "details/reach_check.h"
#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/entry_metrics.h"
#include "turmeric/entry/tunnel_peers.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using routing::Clock;
using routing::Path;
using routing::UpstreamPtr;
using std::chrono::milliseconds;

namespace {

/** Least time between two checks of one upstream. */
constexpr milliseconds kCheckInterval{300};
/** Interval at which due checks are started. */
constexpr milliseconds kTickInterval{250};
/** Checks started at one time. */
constexpr size_t kChecksPerTick = 8;
/** Further upstreams checked after a path has changed. */
constexpr size_t kChecksAfterChange = 4;
/** Most peers asked in one check. */
constexpr size_t kPeersAsked = 6;
/** Interval at which a partition is stated to the peers. */
constexpr milliseconds kStatementInterval{1000};
/** Time without an answer of any upstream after which the cause may be a
 * partition of this instance. */
constexpr milliseconds kSilence{500};

/** Other upstreams that are connected to in order to rule out a partition, and
 * the timeout of these connections. */
constexpr size_t kNeighboursChecked = 3;
constexpr milliseconds kNeighbourTimeout{350};

}  // namespace

ReachMonitor::ReachMonitor(EntryContext& context, TunnelPeers& peers)
    : context_(context), peers_(peers) {
  recheck_timer_.setInterval(kTickInterval);
  connect(&recheck_timer_, &QTimer::timeout, this, [this] { RecheckDue(); });
  statement_timer_.setInterval(kStatementInterval);
  connect(&statement_timer_, &QTimer::timeout, this, [this] {
    UpdatePartitioned();
    if (partitioned_ && on_partition_) on_partition_(true);
  });
}

ReachMonitor::~ReachMonitor() = default;

bool ReachMonitor::AnswersArrive() const {
  return Clock::now() - context_.client.last_answer() < kSilence;
}

void ReachMonitor::Suspect(const UpstreamPtr& upstream, std::string_view why) {
  if (!context_.Uses(config::Mechanism::kTunnels) || !upstream->listed) return;
  const auto now = Clock::now();
  if (now - upstream->reach.checked_at < kCheckInterval) return;
  utils::DecisionLog("path_checked")
      .Add("upstream", upstream->entry.id)
      .Add("path", routing::PathName(upstream->reach.path))
      .Add("why", why);
  Check(upstream, MayAskPeers(upstream->reach, now), nullptr);
}

void ReachMonitor::FindProcessState(const UpstreamPtr& upstream,
                                    std::function<void(ProcessState)> done) {
  const bool joins_check = checks_.contains(upstream.get());
  Check(
      upstream, true,
      [this, upstream, joins_check,
       done = std::move(done)](const ReachFinding& f) {
        const bool reached =
            f.result.connected || !f.result.connected_peer.empty();
        if (reached) return done(ProcessState::kRuns);
        // A check that had begun before may have asked no peer.
        if (joins_check && !f.result.peers_asked) {
          return FindProcessState(upstream, done);
        }
        if (!f.result.refused) return done(ProcessState::kUnknown);
        const bool decides_alone =
            !context_.Uses(config::Mechanism::kTunnels) || !peers_.any();
        if (f.peer_refused || decides_alone) {
          return done(ProcessState::kEnded);
        }
        // No peer could tell. A partition would affect its neighbours, too.
        ReachesNeighbours(upstream, [done](bool reached_others) {
          done(reached_others ? ProcessState::kEnded : ProcessState::kUnknown);
        });
      });
}

void ReachMonitor::ReachesNeighbours(const UpstreamPtr& upstream,
                                     const std::function<void(bool)>& done) {
  const auto now = Clock::now();
  std::vector<UpstreamPtr> others = context_.upstreams.All();
  std::erase_if(others, [&](const UpstreamPtr& other) {
    return other == upstream || !AcceptsWork(*other, now);
  });
  std::ranges::stable_sort(others, std::ranges::greater(),
                           [&](const UpstreamPtr& other) {
                             return other->entry.zone == upstream->entry.zone;
                           });
  if (others.size() > kNeighboursChecked) others.resize(kNeighboursChecked);
  if (others.empty()) return done(false);
  std::vector<http::Endpoint> hosts;
  std::ranges::transform(others, std::back_inserter(hosts),
                         [](const UpstreamPtr& other) {
                           return http::ParseEndpoint(other->entry.address);
                         });
  auto* check = new ConnectAny(hosts, kNeighbourTimeout, done);
  check->setParent(this);
}

void ReachMonitor::Check(const UpstreamPtr& upstream, bool ask_peers,
                         FindingCallback done) {
  OpenCheck& open = checks_[upstream.get()];
  if (done) open.callbacks.push_back(std::move(done));
  if (open.check) return;
  const auto now = Clock::now();
  upstream->reach.checked_at = now;
  std::vector<TunnelPeer> peers;
  if (ask_peers && context_.Uses(config::Mechanism::kTunnels)) {
    peers = peers_.Choose(upstream->entry.zone, kPeersAsked, now);
  }
  open.check = std::make_unique<ReachCheck>(
      upstream, std::move(peers),
      [this, upstream](const ReachFinding& finding) {
        OnChecked(upstream, finding);
      });
}

void ReachMonitor::OnChecked(const UpstreamPtr& upstream,
                             const ReachFinding& finding) {
  const auto it = checks_.find(upstream.get());
  OpenCheck ended = std::move(it->second);
  checks_.erase(it);
  // The check is the caller of this function.
  ended.check.release()->deleteLater();
  if (context_.Uses(config::Mechanism::kTunnels) &&
      ApplyCheck(upstream->reach, finding.result, Clock::now())) {
    OnPathChanged(upstream, finding.result);
  }
  for (const FindingCallback& done : ended.callbacks) done(finding);
}

void ReachMonitor::OnPathChanged(const UpstreamPtr& upstream,
                                 const routing::CheckResult& result) {
  const Path path = upstream->reach.path;
  utils::DecisionLog("path_changed")
      .Add("upstream", upstream->entry.id)
      .Add("service", upstream->entry.service)
      .Add("path", routing::PathName(path))
      .Add("refused", result.refused);
  if (path != Path::kNone) {
    // The failures were those of the path, not of the upstream.
    upstream->ejected_until = {};
    upstream->failures = 0;
  }
  // Connections that hang get no answers. A host that refuses new connections
  // may still serve the open ones, and a host that no instance reaches may
  // only be silent for a moment.
  if (path == Path::kTunnel && !result.refused) {
    context_.client.CloseIdleDirect(*upstream);
  }
  if (path != Path::kNone || !AnswersArrive()) CheckOthers(upstream);
  if (!recheck_timer_.isActive()) recheck_timer_.start();
  UpdatePartitioned();
}

void ReachMonitor::CheckOthers(const UpstreamPtr& upstream) {
  const bool reached = upstream->reach.path == Path::kDirect;
  size_t started = 0;
  for (const UpstreamPtr& other : context_.upstreams.All()) {
    if (started >= kChecksAfterChange) return;
    const bool other_reached = other->reach.path == Path::kDirect;
    if (other_reached == reached || checks_.contains(other.get()) ||
        Clock::now() - other->reach.checked_at < kCheckInterval) {
      continue;
    }
    Suspect(other, "another_path_changed");
    ++started;
  }
}

void ReachMonitor::RecheckDue() {
  const auto now = Clock::now();
  std::vector<UpstreamPtr> due;
  bool any_unreached = false;
  for (const UpstreamPtr& upstream : context_.upstreams.All()) {
    any_unreached = any_unreached || upstream->reach.path != Path::kDirect;
    if (IsRecheckDue(upstream->reach, now)) due.push_back(upstream);
  }
  if (!any_unreached) recheck_timer_.stop();
  std::ranges::sort(due, {},
                    [](const UpstreamPtr& u) { return u->reach.checked_at; });
  if (due.size() > kChecksPerTick) due.resize(kChecksPerTick);
  for (const UpstreamPtr& upstream : due) {
    const bool ask = upstream->reach.path == Path::kNone &&
                     MayAskPeers(upstream->reach, now);
    Check(upstream, ask, nullptr);
  }
  UpdatePartitioned();
}

void ReachMonitor::UpdatePartitioned() {
  const std::vector<UpstreamPtr> all = context_.upstreams.All();
  const auto count = [&all](Path path) {
    return std::ranges::count_if(
        all, [path](const UpstreamPtr& u) { return u->reach.path == path; });
  };
  context_.metrics->SetUnreached(static_cast<int>(count(Path::kTunnel)),
                                 static_cast<int>(count(Path::kNone)));
  const bool partitioned = !all.empty() && count(Path::kDirect) == 0;
  if (partitioned == std::exchange(partitioned_, partitioned)) return;
  utils::DecisionLog(partitioned ? "partitioned_from_upstreams"
                                 : "upstreams_reached")
      .Add("upstreams", all.size());
  if (partitioned) {
    statement_timer_.start();
  } else {
    statement_timer_.stop();
  }
  if (on_partition_) on_partition_(partitioned);
}

}  // namespace turmeric::entry
