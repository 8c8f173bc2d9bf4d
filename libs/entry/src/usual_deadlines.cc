#include "turmeric/entry/usual_deadlines.h"

#include <algorithm>

namespace turmeric::entry {

using std::chrono::milliseconds;

namespace {

/**
 * Number of requests of a route from which the usual deadline is derived:
 * enough for a median, few enough that changed deadlines soon become the usual
 * ones.
 */
constexpr size_t kMaxSamples = 32;
/**
 * Maximum number of routes in memory, a few times as many as large
 * configurations have.
 */
constexpr size_t kMaxRoutes = 10000;
/** With fewer samples no usual deadline is derived. */
constexpr size_t kMinSamples = 8;
/**
 * Differences up to this are delays of callers and do not indicate a retry: a
 * refused caller has waited for the refusal and then pauses.
 */
constexpr milliseconds kJitter{100};

}  // namespace

milliseconds UsualDeadlines::TimeUsed(const std::string& route,
                                      std::optional<milliseconds> stated) {
  if (!stated) return milliseconds(0);
  // Routes are added and removed by configurations, so the number in memory is
  // bounded.
  if (by_route_.size() > kMaxRoutes) by_route_.clear();
  Samples& samples = by_route_[route];
  if (samples.values.size() < kMaxSamples) {
    samples.values.push_back(*stated);
  } else {
    samples.values[samples.next] = *stated;
    samples.next = (samples.next + 1) % kMaxSamples;
  }
  if (samples.values.size() < kMinSamples) return milliseconds(0);
  std::vector<milliseconds> sorted = samples.values;
  const auto middle = sorted.begin() + sorted.size() / 2;
  std::ranges::nth_element(sorted, middle);
  const milliseconds median = *middle;
  // Deadlines of new callers vary around the median. A deadline that is as far
  // below the median as the longest is above it can still be one of a new
  // caller.
  const milliseconds longest = std::ranges::max(sorted);
  const milliseconds shortest = median - (longest - median) - kJitter;
  return *stated < shortest ? median - *stated : milliseconds(0);
}

}  // namespace turmeric::entry
