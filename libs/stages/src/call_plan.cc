#include "turmeric/stages/call_plan.h"

#include <algorithm>
#include <cstdint>

namespace turmeric::stages {

using routing::StageCallLimits;
using std::chrono::milliseconds;

namespace {

/** Fraction of an upstream's memory that is used: results can be larger or
 * smaller than configured. */
constexpr double kUsableMemoryFraction = 0.9;
/** Timeout of a call as a multiple of its estimated duration, plus kCallGrace.
 * Slow upstreams take four to five times as long and still return results. */
constexpr int kCallTimeoutFactor = 5;
constexpr milliseconds kCallGrace{500};
/** A call is overdue after this multiple of the duration of the upstream's last
 * calls, plus kOverdueGrace for the transfer of inputs. */
constexpr double kOverdueFactor = 1.5;
constexpr milliseconds kOverdueGrace{100};
/** Calls waiting per upstream of a service above which no more work for the
 * service is started: the backlog is then served within about a second, and
 * results are read before their retention time ends. */
constexpr double kMaxWaitingCalls = 3.0;

}  // namespace

milliseconds CallTime(const StageCallLimits& limits, size_t pieces) {
  return milliseconds(static_cast<int64_t>(
      limits.call_ms + limits.piece_ms * static_cast<double>(pieces)));
}

milliseconds CallTimeout(const StageCallLimits& limits, size_t pieces) {
  return CallTime(limits, pieces) * kCallTimeoutFactor + kCallGrace;
}

milliseconds OverdueTime(const StageCallLimits& limits, size_t pieces,
                         double slowness) {
  const double usual = static_cast<double>(CallTime(limits, pieces).count()) *
                       std::max(1.0, slowness);
  return milliseconds(static_cast<int64_t>(kOverdueFactor * usual)) +
         kOverdueGrace;
}

bool MayReplaceOverdue(const StageCallLimits& limits, int overdue) {
  return overdue <= limits.queue;
}

int64_t ResultMemoryLeft(const StageCallLimits& limits, int64_t used) {
  const double memory =
      kUsableMemoryFraction * static_cast<double>(limits.result_memory_bytes);
  return static_cast<int64_t>(memory) - used;
}

double CallsWaiting(const StageCallLimits& limits, size_t pieces,
                    size_t upstreams) {
  const size_t pieces_per_round = upstreams * static_cast<size_t>(limits.batch);
  if (pieces_per_round == 0) return 0;
  return static_cast<double>(pieces) / static_cast<double>(pieces_per_round);
}

bool IsBackedUp(double calls_waiting) {
  return calls_waiting > kMaxWaitingCalls;
}

milliseconds MinCompletionTime(const StageCallLimits& limits, size_t before,
                               size_t upstreams) {
  const auto rounds =
      static_cast<int64_t>(CallsWaiting(limits, before, upstreams));
  return CallTime(limits, static_cast<size_t>(limits.batch)) * rounds +
         CallTime(limits, 1);
}

}  // namespace turmeric::stages
