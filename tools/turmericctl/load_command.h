#pragma once

#include <string>

namespace turmeric::ctl {

/**
 * `turmericctl load`: the load and experiment tool. With no --target it
 * starts the embedded platform and entry instances in this process.
 * Scenarios: "overhead" (gateway vs direct engine calls, same run) and
 * "faults" (bursts, store outage with lost answers, a leaving upstream and
 * a killed instance, against the baseline policy in the same run).
 * @return 0 if every invariant held, 1 otherwise.
 */
int RunLoadCommand();

}  // namespace turmeric::ctl
