#include "explain_command.h"

#include <fstream>
#include <iostream>

#include "turmeric/insight/loss_report.h"
#include "turmeric/utils/result.h"

namespace turmeric::ctl {

namespace {

void Read(std::istream& in, insight::LossReport& report) {
  std::string line;
  while (std::getline(in, line)) {
    if (const auto event = insight::ParseLogLine(line)) report.Add(*event);
  }
}

}  // namespace

int RunExplainCommand(const std::vector<std::string>& files) {
  insight::LossReport report;
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

}  // namespace turmeric::ctl
