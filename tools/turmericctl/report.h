#pragma once

#include <QJsonObject>
#include <string>
#include <string_view>

namespace turmeric::ctl {

/** Writes the figures to --report, if set. @param figures as JSON. */
void WriteReport(const QJsonObject& figures);

/**
 * @param text a Prometheus text exposition.
 * @param prefix start of the series, name and first labels.
 * @return the sum of all matching series.
 */
double MetricSum(std::string_view text, std::string_view prefix);

}  // namespace turmeric::ctl
