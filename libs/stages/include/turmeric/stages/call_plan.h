#pragma once

#include <chrono>
#include <cstddef>

#include "turmeric/routing/route_table.h"
#include "turmeric/stages/piece.h"

namespace turmeric::stages {

/** @param limits of a stage service. @param pieces in one call.
 * @return approximate duration of the call. */
std::chrono::milliseconds CallTime(const routing::StageCallLimits& limits,
                                   size_t pieces);

/** @param limits of a stage service. @param pieces in one call.
 * @return how long to wait for the answer before the call is abandoned. */
std::chrono::milliseconds CallTimeout(const routing::StageCallLimits& limits,
                                      size_t pieces);

/**
 * Decides when a call is overdue: its response is probably lost, and the slot
 * of its upstream free. Load: upstreams run calls whose responses never arrive;
 * until the timeout of the call, such an upstream would stay idle.
 * @param limits of a stage service. @param pieces in the call.
 * @param slowness of the upstream's last calls as a multiple of CallTime.
 * @return time from the start of the call.
 */
std::chrono::milliseconds OverdueTime(const routing::StageCallLimits& limits,
                                      size_t pieces, double slowness);

/**
 * @param limits of a stage service. @param overdue calls in progress at an
 *     upstream that are overdue.
 * @return true if the upstream may get another call in their place: if they
 *     still run, the call waits in the upstream's queue.
 */
bool MayReplaceOverdue(const routing::StageCallLimits& limits, int overdue);

/**
 * @param limits of a stage service. @param used memory of an upstream taken by
 *     results that it holds or is making, bytes.
 * @return memory available for the results of its next call, bytes.
 */
int64_t ResultMemoryLeft(const routing::StageCallLimits& limits, int64_t used);

/**
 * @param limits of a stage service. @param pieces waiting.
 * @param upstreams that serve them.
 * @return backlog as full calls waiting per upstream; 0 without upstreams.
 */
double CallsWaiting(const routing::StageCallLimits& limits, size_t pieces,
                    size_t upstreams);

/** @param calls_waiting from CallsWaiting. @return true if stages whose results
 * go to this service should not be started. */
bool IsBackedUp(double calls_waiting);

/**
 * @param limits of a stage service. @param before number of pieces ahead in the
 *     queue. @param upstreams number of upstreams that serve the queue.
 * @return least time in which the piece behind the `before` pieces can be
 *     completed.
 */
std::chrono::milliseconds MinCompletionTime(
    const routing::StageCallLimits& limits, size_t before, size_t upstreams);

}  // namespace turmeric::stages
