#include "explain_command.h"

#include <fstream>
#include <iostream>
#include <span>
#include <string_view>

#include "turmeric/insight/control_plane_report.h"
#include "turmeric/insight/crash_report.h"
#include "turmeric/insight/request_outcome_report.h"
#include "turmeric/utils/result.h"

namespace turmeric::ctl {

namespace {

constexpr std::string_view kControl = "control";
constexpr std::string_view kCrashes = "crashes";

template <class Report>
void Read(std::istream& in, Report& report) {
  std::string line;
  while (std::getline(in, line)) {
    if (const auto event = insight::ParseLogLine(line)) report.Add(*event);
  }
}

/** Fills a report from the files and prints it. @return process exit code. */
template <class Report>
int Explain(std::span<const std::string> files) {
  Report report;
  if (files.empty()) Read(std::cin, report);
  for (const std::string& file : files) {
    if (file == "-") {
      Read(std::cin, report);
      continue;
    }
    std::ifstream in(file);
    if (!in) {
      std::cerr << "error " << static_cast<int>(utils::Errc::kIniMissing)
                << ": no log at " << file << "\n";
      return 2;
    }
    Read(in, report);
  }
  std::cout << report.Render();
  return 0;
}

}  // namespace

int RunExplainCommand(const std::vector<std::string>& words) {
  const std::span<const std::string> all(words);
  if (!all.empty() && all.front() == kControl) {
    return Explain<insight::ControlPlaneReport>(all.subspan(1));
  }
  if (!all.empty() && all.front() == kCrashes) {
    return Explain<insight::CrashReport>(all.subspan(1));
  }
  return Explain<insight::RequestOutcomeReport>(all);
}

}  // namespace turmeric::ctl
