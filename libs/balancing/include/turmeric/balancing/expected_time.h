#pragma once

#include <span>

#include "turmeric/balancing/upstream_load.h"

namespace turmeric::balancing {

/** What is known about one upstream of a service. */
struct UpstreamState {
  const UpstreamLoad* load = nullptr;  ///< Not null.
  int slots = 1;
};

/** Means over the upstreams of a service; stand in for what is not known about
 * one of them. */
struct ServiceMean {
  double service_ms = 0;      ///< Learned service time; 0: none is known.
  double ahead_per_slot = 0;  ///< Reported requests for each slot.
};

/**
 * @param upstreams of a service. @param now current time.
 * @return the means over those upstreams that are known.
 */
ServiceMean MeanOf(std::span<const UpstreamState> upstreams,
                   Clock::time_point now);

/**
 * @param upstreams of a service. @param now current time.
 * @return true if they are known to be uneven: one has reported a pace, or
 *     their learned service times differ by a quarter or more. Smaller
 *     differences are within the variation of the requests themselves.
 */
bool IsUneven(std::span<const UpstreamState> upstreams, Clock::time_point now);

/**
 * @param state an upstream. @param mean of its service.
 * @param work units of work of the request. @param now current time.
 * @return time that the upstream needs for the request, without waiting, ms.
 */
double ServiceTime(const UpstreamState& state, const ServiceMean& mean,
                   double work, Clock::time_point now);

/**
 * The time until a new request is answered: its waiting, its service at the
 * pace in force, and a surcharge for requests that have been unanswered for
 * long. The load that it handles: upstreams of different speeds, whose
 * reports are up to some hundred ms old and which slow down when nearly full.
 * @param state an upstream. @param mean of its service.
 * @param work units of work of the request. @param now current time.
 * @return the expected time, ms.
 */
double ExpectedTime(const UpstreamState& state, const ServiceMean& mean,
                    double work, Clock::time_point now);

}  // namespace turmeric::balancing
