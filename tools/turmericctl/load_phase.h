#pragma once

#include <QJsonObject>
#include <string>
#include <vector>

#include "load_runner.h"

namespace turmeric::ctl {

/** Each request's deadline in the load scenarios, ms. */
inline constexpr int kDeadlineMs = 2000;
/** Hard stop for one phase, ms. */
inline constexpr int kTimeCapMs = 120000;

/** One closed-loop phase's results and cost. */
struct Phase {
  LoadSummary summary;
  double seconds = 0;      ///< Wall time.
  double cpu_seconds = 0;  ///< CPU of this whole process during the phase.
  std::vector<LoadResult> results;
};

/** @return user+system CPU seconds of this process so far. */
double CpuSeconds();

/**
 * Runs one phase to completion.
 * @param total logical requests. @param concurrency open at once.
 * @param max_retries caller retries. @param make request maker.
 * @return the phase.
 */
Phase RunPhase(int total, int concurrency, int max_retries, RequestMaker make);

/** @param s summary. @return it as JSON. */
QJsonObject SummaryJson(const LoadSummary& s);

/**
 * Prints one line for a summary.
 * @param label row label. @param s summary. @param seconds wall time.
 */
void PrintSummary(const std::string& label, const LoadSummary& s,
                  double seconds);

}  // namespace turmeric::ctl
