#pragma once

#include <string_view>

namespace turmeric::utils {

/**
 * Configures easylogging++ to write structured (logfmt) lines to standard
 * output. Log lines are for changes of state; counters are exported at
 * /metrics.
 * @param level lowest level written: "debug", "info", "warning" or "error"; any
 *     other value enables all levels.
 */
void ConfigureLogging(std::string_view level);

}  // namespace turmeric::utils
