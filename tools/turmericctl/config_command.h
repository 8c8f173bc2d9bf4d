#pragma once

#include <string>
#include <vector>

namespace turmeric::ctl {

/**
 * `turmericctl config get|list|set|diff ...` against an instance.
 * @param target base URL of an entry instance.
 * @param args words after "config".
 * @return process exit code (0 ok, 1 refused, 2 usage).
 */
int RunConfigCommand(const std::string& target,
                     const std::vector<std::string>& args);

/**
 * `turmericctl run`: one request through a pipeline, answer printed.
 * @param target base URL of an entry instance.
 * @return 0 if the answer says "ran", else 1.
 */
int RunPipelineCommand(const std::string& target);

}  // namespace turmeric::ctl
