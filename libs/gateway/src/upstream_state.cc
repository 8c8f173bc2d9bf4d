#include "turmeric/gateway/upstream_state.h"

#include <algorithm>
#include <cmath>

namespace turmeric::gateway {

using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Consecutive failures after which an upstream is ejected. */
constexpr int kFailuresToEject = 3;
/** Duration of the first ejection; doubles with each further failure. */
constexpr milliseconds kFirstEjection{500};
constexpr milliseconds kMaxEjection{8000};
/**
 * How long an upstream counts as leaving after it refused a call as leaving,
 * unless the instance list reports it as live earlier.
 */
constexpr seconds kRefusalValidity{60};
/** Weight of a new latency sample in the moving average. */
constexpr double kSampleWeight = 0.2;
/** Time constant with which the latency average decays while no new sample is
 * recorded. */
constexpr duration<double> kLatencyDecayTime{2.0};

void Eject(UpstreamState& upstream, Clock::time_point now) {
  const int doublings = std::min(upstream.failures - kFailuresToEject, 10);
  upstream.ejected_until =
      now + std::min(kMaxEjection, kFirstEjection * (1 << doublings));
}

}  // namespace

void OnSend(UpstreamState& upstream) {
  ++upstream.inflight;
  ++upstream.calls_sent;
}

void OnReport(UpstreamState& upstream, const CallReport& report,
              Clock::time_point now) {
  upstream.inflight = std::max(0, upstream.inflight - 1);
  if (report.reported_depth >= 0) {
    upstream.reported_depth = report.reported_depth;
  }
  switch (report.result) {
    case CallResult::kOk:
      upstream.failures = 0;
      upstream.latency_ms =
          upstream.latency_ms == 0
              ? report.ms
              : (1 - kSampleWeight) * DecayedLatencyMs(upstream, now) +
                    kSampleWeight * report.ms;
      upstream.latency_sampled_at = now;
      break;
    case CallResult::kCancelled:
      // A cancelled call took at least this long. Without this sample a slow
      // upstream would appear fast if its calls are always cancelled because
      // the hedged call is answered first.
      if (report.ms > DecayedLatencyMs(upstream, now)) {
        upstream.latency_ms = report.ms;
        upstream.latency_sampled_at = now;
      }
      break;
    case CallResult::kRefusedLeaving:
      upstream.refused_until = now + kRefusalValidity;
      break;
    case CallResult::kNotSent:
    case CallResult::kFailed:
    case CallResult::kMisdelivered:
      // Guard: an unreachable upstream fails fast, so it always appears least
      // loaded and receives most of the calls; the pool then fails a far larger
      // share of its calls than that member's share of the pool. After a few
      // consecutive failures the upstream is ejected, and later probed with one
      // call at a time.
      if (++upstream.failures >= kFailuresToEject) Eject(upstream, now);
      break;
  }
}

bool IsLeaving(const UpstreamState& upstream, Clock::time_point now) {
  return upstream.listed_leaving || now < upstream.refused_until;
}

bool IsEjected(const UpstreamState& upstream, Clock::time_point now) {
  if (upstream.failures < kFailuresToEject) return false;
  return now < upstream.ejected_until || upstream.inflight > 0;
}

double DecayedLatencyMs(const UpstreamState& upstream, Clock::time_point now) {
  const duration<double> age = now - upstream.latency_sampled_at;
  return upstream.latency_ms * std::exp(-age / kLatencyDecayTime);
}

}  // namespace turmeric::gateway
