#pragma once

#include <string>

namespace turmeric::ctl {

/**
 * `turmericctl load`: runs the load scenario that --scenario selects.
 * "overhead" compares gateway and direct engine calls, "faults" and "routing"
 * compare policies with a baseline under faults; these three run the platform
 * and the instances in this process. "fleet" and "slopes" use the instances
 * that --targets and --pids name.
 * @return process exit code: 0 if every invariant held, 1 if not, 2 if the
 *     scenario is unknown or cannot start.
 */
int RunLoadCommand();

}  // namespace turmeric::ctl
