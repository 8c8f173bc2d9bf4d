#pragma once

#include <QJsonObject>
#include <string>
#include <vector>

#include "load_runner.h"

namespace turmeric::ctl {

/** Deadline of each request in the load scenarios. */
inline constexpr int kDeadlineMs = 2000;
/** Time after which a phase ends even if requests are in flight. */
inline constexpr int kTimeCapMs = 120000;

/** Results and cost of one phase of closed-loop load. */
struct Phase {
  LoadSummary summary;
  double seconds = 0;      ///< Wall time.
  double cpu_seconds = 0;  ///< CPU time of this whole process in the phase.
  std::vector<LoadResult> results;
};

/** @return user+system CPU seconds of this process so far. */
double CpuSeconds();

/**
 * Runs one phase to completion.
 * @param total number of logical requests.
 * @param concurrency logical requests in flight at once.
 * @param max_retries of the caller per request.
 * @param make makes each attempt of each request.
 */
Phase RunPhase(int total, int concurrency, int max_retries, RequestMaker make);

/** @return the summary as JSON. */
QJsonObject SummaryJson(const LoadSummary& s);

/**
 * Prints a summary as one line.
 * @param label at the start of the line.
 * @param s the summary.
 * @param seconds wall time of the phase.
 */
void PrintSummary(const std::string& label, const LoadSummary& s,
                  double seconds);

}  // namespace turmeric::ctl
