#pragma once

#include <string>
#include <vector>

namespace turmeric::ctl {

/**
 * `turmericctl explain [control | crashes] FILE...`: prints a report from the
 * logs of a fleet. Without a report name, reports which stage services limit
 * the throughput and how requests are lost; with "control", when and by which
 * path each instance applied each configuration; with "crashes", which requests
 * were running on at least two upstreams whose connections broke off. Reads
 * standard input for "-" or if no file is given.
 * @param words command line arguments after "explain".
 * @return process exit code; 2 if a file cannot be read.
 */
int RunExplainCommand(const std::vector<std::string>& words);

}  // namespace turmeric::ctl
