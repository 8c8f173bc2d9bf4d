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
/** First ejection; doubles with each further failure. */
constexpr milliseconds kFirstEjection{500};
constexpr milliseconds kLongestEjection{8000};
/** How long a refusal as leaving is trusted without the instance list. */
constexpr seconds kRefusalTrust{60};
/** Weight of a new latency sample. */
constexpr double kSampleWeight = 0.2;
/** Time constant with which a latency that is not sampled is forgotten. */
constexpr duration<double> kLatencyMemory{2.0};

void Eject(UpstreamState& upstream, Clock::time_point now) {
  const int doublings = std::min(upstream.failures - kFailuresToEject, 10);
  upstream.ejected_till =
      now + std::min(kLongestEjection, kFirstEjection * (1 << doublings));
}

}  // namespace

void OnSend(UpstreamState& upstream) {
  ++upstream.inflight;
  ++upstream.picks;
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
      upstream.latency_at = now;
      break;
    case CallResult::kCancelled:
      // A call given up took at least this long: without the sample a slow
      // upstream whose calls always lose to their hedge would look fast.
      if (report.ms > DecayedLatencyMs(upstream, now)) {
        upstream.latency_ms = report.ms;
        upstream.latency_at = now;
      }
      break;
    case CallResult::kRefusedLeaving:
      upstream.refuses_till = now + kRefusalTrust;
      break;
    case CallResult::kNotSent:
    case CallResult::kFailed:
    case CallResult::kMisdelivered:
      // Guard: a dead upstream fails at once, so it always looks the least
      // loaded and draws in most of the traffic. It shows as a pool failing
      // far more than its one dead member's share. Ejection after a few
      // failures in a row takes it out; one call at a time probes it after.
      if (++upstream.failures >= kFailuresToEject) Eject(upstream, now);
      break;
  }
}

bool IsLeaving(const UpstreamState& upstream, Clock::time_point now) {
  return upstream.listed_leaving || now < upstream.refuses_till;
}

bool IsEjected(const UpstreamState& upstream, Clock::time_point now) {
  if (upstream.failures < kFailuresToEject) return false;
  return now < upstream.ejected_till || upstream.inflight > 0;
}

double DecayedLatencyMs(const UpstreamState& upstream, Clock::time_point now) {
  const duration<double> age = now - upstream.latency_at;
  return upstream.latency_ms * std::exp(-age / kLatencyMemory);
}

}  // namespace turmeric::gateway
