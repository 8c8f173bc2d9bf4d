// turmericctl: client for operators and callers, and load tool.
#include <easylogging++.h>
#include <gflags/gflags.h>

#include <QCoreApplication>
#include <iostream>

#include "config_command.h"
#include "explain_command.h"
#include "load_command.h"
#include "turmeric/utils/log.h"

INITIALIZE_EASYLOGGINGPP

DEFINE_string(target, "http://127.0.0.1:8080", "base URL of an entry instance");
DEFINE_string(file, "", "settings text for config set/diff; - or empty: stdin");
DEFINE_int64(if_version, -1,
             "config set: version that is replaced (0 creates)");
DEFINE_string(business, "nilelight", "run: business");
DEFINE_string(pipeline, "translate-notice", "run: pipeline");
DEFINE_string(organisation, "nile-hotels", "run: organisation");
DEFINE_string(input, "Meeting room 4 moved to floor 2", "run: input text");
DEFINE_string(idempotency_key, "", "run: marks the request non-idempotent");
DEFINE_int32(deadline_ms, 2000, "run: deadline for the whole pipeline");
DEFINE_string(log_level, "warning", "log level for in-process stacks");

int main(int argc, char* argv[]) {
  gflags::SetUsageMessage(
      "turmericctl run | config get|list|set|diff KEY | load [--scenario=...] "
      "| "
      "explain [control | crashes] LOG...");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  QCoreApplication app(argc, argv);
  turmeric::utils::ConfigureLogging(FLAGS_log_level);
  std::vector<std::string> words(argv + 1, argv + argc);
  if (words.empty()) {
    std::cerr << gflags::ProgramUsage() << "\n";
    return 2;
  }
  const std::string command = words[0];
  words.erase(words.begin());
  if (command == "config") {
    return turmeric::ctl::RunConfigCommand(FLAGS_target, words);
  }
  if (command == "run") return turmeric::ctl::RunPipelineCommand(FLAGS_target);
  if (command == "explain") return turmeric::ctl::RunExplainCommand(words);
  if (command == "load") return turmeric::ctl::RunLoadCommand();
  std::cerr << "unknown command " << command << "\n"
            << gflags::ProgramUsage() << "\n";
  return 2;
}
