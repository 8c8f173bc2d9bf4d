#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace turmeric::gateway {

/** Clock of all times in the upstream state. */
using Clock = std::chrono::steady_clock;

/** How a stage selects among its pool's upstreams. */
enum class RoutingPolicy {
  kPowerOfTwo,      ///< Of two random upstreams, that with the shorter queue.
  kPowerOfTwoEwma,  ///< Of two random upstreams, that with the smaller
                    ///< product of queue and latency.
  kRoundRobin,      ///< The upstreams in turn; the baseline for comparisons.
};

/** Outcome of one call to an upstream. */
enum class CallResult {
  kOk,              ///< Complete answer with this call's id.
  kRefusedLeaving,  ///< Refused without running: the upstream is leaving.
  kNotSent,         ///< Connection refused: certainly not run.
  kFailed,          ///< An error after sending; may have run.
  kMisdelivered,    ///< The answer carried another call's id and was dropped.
  kCancelled,       ///< Cancelled here (hedge, disconnect, deadline).
};

/**
 * @param result outcome of a call.
 * @return true if the upstream certainly ran nothing.
 */
constexpr bool CertainlyNotRun(CallResult result) {
  return result == CallResult::kRefusedLeaving ||
         result == CallResult::kNotSent;
}

/** Observations of one call about its upstream. */
struct CallReport {
  CallResult result = CallResult::kOk;
  double ms = 0;  ///< Elapsed time from the send to the end of the call.
  int reported_depth = -1;  ///< Queue depth reported in the answer, or -1.
};

/**
 * State of one upstream as observed by this entry instance, shared by all pools
 * that contain the upstream.
 */
struct UpstreamState {
  std::string address;  ///< "ip:port".
  int inflight = 0;     ///< Calls of this instance in flight to the upstream.
  /** Last queue depth that the upstream reported; can be outdated. */
  int reported_depth = 0;
  double latency_ms = 0;  ///< Exponential moving average; 0: no sample yet.
  Clock::time_point latency_sampled_at;  ///< Last update of latency_ms.
  bool listed_leaving = false;      ///< The instance list marks it as leaving.
  Clock::time_point refused_until;  ///< Leaving until then, after a refusal.
  int failures = 0;                 ///< Consecutive failed calls.
  Clock::time_point ejected_until;  ///< No calls until then, after failures.
  int64_t calls_sent = 0;           ///< Total calls sent, for operators.
};

/**
 * Records that a call is sent.
 * @param upstream destination of the call.
 */
void OnSend(UpstreamState& upstream);
/**
 * Records the end of a call.
 * @param upstream destination of the call.
 * @param report outcome of the call.
 * @param now current time.
 */
void OnReport(UpstreamState& upstream, const CallReport& report,
              Clock::time_point now);
/**
 * @return true if the upstream must receive no new calls because it is leaving.
 */
bool IsLeaving(const UpstreamState& upstream, Clock::time_point now);
/** @return true while the upstream is ejected after consecutive failures. */
bool IsEjected(const UpstreamState& upstream, Clock::time_point now);
/**
 * @param upstream an upstream.
 * @param now current time.
 * @return its latency in ms, decayed exponentially with the age of the sample.
 */
double DecayedLatencyMs(const UpstreamState& upstream, Clock::time_point now);

}  // namespace turmeric::gateway
