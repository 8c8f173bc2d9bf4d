#pragma once

#include <chrono>
#include <cstddef>

#include "turmeric/routing/route_table.h"
#include "turmeric/stages/piece.h"

namespace turmeric::stages {

/** @param limits of a stage service. @param pieces in one call.
 * @return how long the call takes, approximately. */
std::chrono::milliseconds CallTime(const routing::StageCallLimits& limits,
                                   size_t pieces);

/** @param limits of a stage service. @param pieces in one call.
 * @return when a call without an answer is given up. */
std::chrono::milliseconds CallTimeout(const routing::StageCallLimits& limits,
                                      size_t pieces);

/**
 * @param limits of a stage service. @param used bytes of results that an
 * upstream holds or is making.
 * @return bytes of results that its next call may make.
 */
int64_t RoomLeft(const routing::StageCallLimits& limits, int64_t used);

/**
 * @param limits of a stage service. @param pieces waiting.
 * @param upstreams that serve them.
 * @return full calls that wait for each of the upstreams; 0 without any.
 */
double CallsWaiting(const routing::StageCallLimits& limits, size_t pieces,
                    size_t upstreams);

/** @param calls_waiting as by CallsWaiting. @return true if no more work that
 * leads to the service should be begun. */
bool IsBackedUp(double calls_waiting);

/**
 * @param limits of a stage service. @param before pieces that come first.
 * @param upstreams that serve them.
 * @return the least time in which a piece behind those can be made.
 */
std::chrono::milliseconds LeastTime(const routing::StageCallLimits& limits,
                                    size_t before, size_t upstreams);

}  // namespace turmeric::stages
