#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace turmeric::gateway {

/** The clock upstream state is kept by. */
using Clock = std::chrono::steady_clock;

/** How a stage picks among its pool's upstreams. */
enum class RoutingPolicy {
  kPowerOfTwo,      ///< Two random upstreams, the shorter queue wins.
  kPowerOfTwoEwma,  ///< Two random upstreams, least queue × latency wins.
  kRoundRobin,      ///< The baseline: next upstream in turn.
};

/** How one call to an upstream ended. */
enum class CallResult {
  kOk,              ///< Whole answer, with this call's own id.
  kRefusedLeaving,  ///< Refused unrun: the upstream is leaving.
  kNotSent,         ///< No connection was made: certainly not run.
  kFailed,          ///< An error after sending; may have run.
  kMisdelivered,    ///< The answer carried another call's id; dropped.
  kCancelled,       ///< We gave it up (hedge lost, caller gone, deadline).
};

/** @param result a call's end. @return true if the upstream ran nothing. */
constexpr bool CertainlyNotRun(CallResult result) {
  return result == CallResult::kRefusedLeaving ||
         result == CallResult::kNotSent;
}

/** What one call tells about its upstream. */
struct CallReport {
  CallResult result = CallResult::kOk;
  double ms = 0;            ///< Time from send to the end.
  int reported_depth = -1;  ///< Queue depth it reported, or -1.
};

/** What one entry instance knows of one upstream, whoever's pool it is in. */
struct UpstreamState {
  std::string address;             ///< "ip:port".
  int inflight = 0;                ///< Our calls now open to it.
  int reported_depth = 0;          ///< Its last (lagged) queue-depth report.
  double latency_ms = 0;           ///< Moving average; 0: no sample yet.
  Clock::time_point latency_at;    ///< When latency_ms was last sampled.
  bool listed_leaving = false;     ///< The instance list says leaving.
  Clock::time_point refuses_till;  ///< It refused as leaving; trusted so long.
  int failures = 0;                ///< Calls failed in a row.
  Clock::time_point ejected_till;  ///< No calls before, after failures.
  int64_t picks = 0;               ///< Calls sent, for the operator.
};

/** @param upstream one a call is being sent to. */
void OnSend(UpstreamState& upstream);
/**
 * @param upstream the one the call went to.
 * @param report how the call ended. @param now the time.
 */
void OnReport(UpstreamState& upstream, const CallReport& report,
              Clock::time_point now);
/** @return true if it must get no new work: it is leaving. */
bool IsLeaving(const UpstreamState& upstream, Clock::time_point now);
/** @return true while it is ejected for failing call after call. */
bool IsEjected(const UpstreamState& upstream, Clock::time_point now);
/**
 * @param upstream an upstream. @param now the time.
 * @return its latency, trusted less the older the sample is, ms.
 */
double DecayedLatencyMs(const UpstreamState& upstream, Clock::time_point now);

}  // namespace turmeric::gateway
