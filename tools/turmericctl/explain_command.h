#pragma once

#include <string>
#include <vector>

namespace turmeric::ctl {

/**
 * "explain FILE...": says from the logs of a fleet which stage services bind
 * and how requests are lost; "-" or no file reads standard input.
 * @param files the logs. @return the exit status: 2 if a file cannot be read.
 */
int RunExplainCommand(const std::vector<std::string>& files);

}  // namespace turmeric::ctl
