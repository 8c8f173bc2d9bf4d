#include "report.h"

#include <gflags/gflags.h>

#include <QFile>
#include <QJsonDocument>
#include <sstream>

DECLARE_string(report);

namespace turmeric::ctl {

void WriteReport(const QJsonObject& figures) {
  if (FLAGS_report.empty()) return;
  QFile f(QString::fromStdString(FLAGS_report));
  if (f.open(QIODevice::WriteOnly)) f.write(QJsonDocument(figures).toJson());
}

double MetricSum(std::string_view text, std::string_view prefix) {
  double sum = 0;
  std::istringstream in{std::string(text)};
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with(prefix)) {
      sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
  }
  return sum;
}

}  // namespace turmeric::ctl
