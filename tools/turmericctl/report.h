#pragma once

#include <QJsonObject>
#include <string>
#include <string_view>

namespace turmeric::ctl {

/** Writes the figures as JSON to the file --report, if set. */
void WriteReport(const QJsonObject& figures);

/**
 * @param text metrics in the Prometheus text format.
 * @param prefix start of the series: name and first labels.
 * @return sum of the values of all matching series.
 */
double MetricSum(std::string_view text, std::string_view prefix);

}  // namespace turmeric::ctl
