#pragma once

#include <string>
#include <vector>

namespace turmeric::ctl {

/**
 * `turmericctl config get|list|set|diff ...` against an instance.
 * @param target base URL of an entry instance.
 * @param args command line arguments after "config".
 * @return process exit code (0: success, 1: refused or failed, 2: usage).
 */
int RunConfigCommand(const std::string& target,
                     const std::vector<std::string>& args);

/**
 * `turmericctl run`: sends one request to a pipeline and prints the answer.
 * @param target base URL of an entry instance.
 * @return process exit code: 0 if the state in the answer is "ran",
 * otherwise 1.
 */
int RunPipelineCommand(const std::string& target);

}  // namespace turmeric::ctl
