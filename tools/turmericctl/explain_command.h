#pragma once

#include <string>
#include <vector>

namespace turmeric::ctl {

/**
 * "explain [control] FILE...": says from the logs of a fleet which stage
 * services bind and how requests are lost; with "control", when and by which
 * path each instance came to act on each configuration. "-" or no file reads
 * standard input.
 * @param words behind the command. @return the exit status: 2 if a file cannot
 *     be read.
 */
int RunExplainCommand(const std::vector<std::string>& words);

}  // namespace turmeric::ctl
