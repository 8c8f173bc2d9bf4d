#pragma once

#include <vector>

#include "turmeric/entry/entry_metrics.h"
#include "turmeric/routing/upstream.h"

namespace turmeric::entry {

struct EntryContext;

/**
 * Logs a change of the expected speed of an upstream by half or more, at most
 * once a second for each service.
 * @param context the instance's state.
 * @param upstream that has answered.
 * @param now current time.
 */
void ReportSpeed(EntryContext& context, routing::Upstream& upstream,
                 routing::Clock::time_point now);

/**
 * @param context the instance's state.
 * @return the learned speeds of at most 64 upstreams.
 */
std::vector<UpstreamSpeed> UpstreamSpeeds(const EntryContext& context);

}  // namespace turmeric::entry
