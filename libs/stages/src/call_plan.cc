#include "turmeric/stages/call_plan.h"

#include <algorithm>
#include <cstdint>

namespace turmeric::stages {

using routing::StageCallLimits;
using std::chrono::milliseconds;

namespace {

/** Part of an upstream's room that is filled: results are larger or smaller
 * than configured. */
constexpr double kRoomShare = 0.9;
/** A call is given up after so many times its estimate plus kCallGrace; slow
 * upstreams take four to five times as long and still deliver. */
constexpr int kCallTimeoutFactor = 5;
constexpr milliseconds kCallGrace{500};
/** Calls waiting for each upstream of a service at which no more work for it
 * is begun: what waits is then served within about a second, and
 * results do not lie in memory for longer than they are kept. */
constexpr double kBackedUpCalls = 3.0;

}  // namespace

milliseconds CallTime(const StageCallLimits& limits, size_t pieces) {
  return milliseconds(static_cast<int64_t>(
      limits.call_ms + limits.piece_ms * static_cast<double>(pieces)));
}

milliseconds CallTimeout(const StageCallLimits& limits, size_t pieces) {
  return CallTime(limits, pieces) * kCallTimeoutFactor + kCallGrace;
}

int64_t RoomLeft(const StageCallLimits& limits, int64_t used) {
  const double room =
      kRoomShare * static_cast<double>(limits.result_memory_bytes);
  return static_cast<int64_t>(room) - used;
}

double CallsWaiting(const StageCallLimits& limits, size_t pieces,
                    size_t upstreams) {
  const size_t in_a_round = upstreams * static_cast<size_t>(limits.batch);
  if (in_a_round == 0) return 0;
  return static_cast<double>(pieces) / static_cast<double>(in_a_round);
}

bool IsBackedUp(double calls_waiting) { return calls_waiting > kBackedUpCalls; }

milliseconds LeastTime(const StageCallLimits& limits, size_t before,
                       size_t upstreams) {
  const auto rounds =
      static_cast<int64_t>(CallsWaiting(limits, before, upstreams));
  return CallTime(limits, static_cast<size_t>(limits.batch)) * rounds +
         CallTime(limits, 1);
}

}  // namespace turmeric::stages
