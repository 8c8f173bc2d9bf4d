#pragma once

#include <span>
#include <vector>

#include "turmeric/balancing/expected_time.h"
#include "turmeric/routing/upstream.h"

namespace turmeric::stages {

/**
 * The expected durations of calls to the upstreams of one shard. The load that
 * it handles: stage upstreams of different speeds, and other work on their
 * machines. While the upstreams are not known to be uneven, all have the same
 * expected duration, as are their differences then within the variation of the
 * calls.
 */
class CallSpeeds {
 public:
  /**
   * @param upstreams of the shard. @param enabled false: takes all upstreams as
   *     even. @param now current time.
   */
  CallSpeeds(std::span<const routing::UpstreamPtr> upstreams, bool enabled,
             routing::Clock::time_point now);

  /**
   * @param upstream of the shard.
   * @return expected duration of a call to it as a multiple of the usual one,
   *     0.25 to 4.
   */
  double Factor(const routing::Upstream& upstream) const;
  /** Sorts upstreams by the expected duration of a call to them, or by the
   * measured latency while they are even. @param free upstreams to call. */
  void Sort(std::vector<routing::UpstreamPtr>& free) const;

 private:
  bool uneven_ = false;
  balancing::ServiceMean mean_;
  routing::Clock::time_point now_;
};

}  // namespace turmeric::stages
