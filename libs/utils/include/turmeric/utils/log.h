#pragma once

#include <string_view>

namespace turmeric::utils {

/**
 * Configures easylogging++ for structured (logfmt) lines on stderr.
 * Lines are written only for changes of state; counters go to /metrics.
 * @param level "debug", "info", "warning" or "error".
 */
void ConfigureLogging(std::string_view level);

}  // namespace turmeric::utils
