#include "turmeric/entry/usual_deadlines.h"

#include <algorithm>

namespace turmeric::entry {

using std::chrono::milliseconds;

namespace {

/** Requests of a route that what is usual is taken from: enough for a median,
 * few enough that changed deadlines are soon the usual ones. */
constexpr size_t kRemembered = 32;
/** Routes remembered, a few times as many as large configurations have. */
constexpr size_t kMostRoutes = 10000;
/** Fewer say nothing. */
constexpr size_t kLeast = 8;
/** Differences up to this are the callers' own delays, not a return: a refused
 * caller has waited for the refusal and then pauses. */
constexpr milliseconds kJitter{100};

}  // namespace

milliseconds UsualDeadlines::Used(const std::string& route,
                                  std::optional<milliseconds> stated) {
  if (!stated) return milliseconds(0);
  // Routes come and go with the configuration; what is remembered is bounded.
  if (by_route_.size() > kMostRoutes) by_route_.clear();
  Stated& known = by_route_[route];
  if (known.last.size() < kRemembered) {
    known.last.push_back(*stated);
  } else {
    known.last[known.next] = *stated;
    known.next = (known.next + 1) % kRemembered;
  }
  if (known.last.size() < kLeast) return milliseconds(0);
  std::vector<milliseconds> sorted = known.last;
  const auto middle = sorted.begin() + sorted.size() / 2;
  std::ranges::nth_element(sorted, middle);
  const milliseconds median = *middle;
  // Callers' deadlines may differ around the median. What lies as far below it
  // as the longest lies above is still one of a new caller.
  const milliseconds longest = std::ranges::max(sorted);
  const milliseconds shortest = median - (longest - median) - kJitter;
  return *stated < shortest ? median - *stated : milliseconds(0);
}

}  // namespace turmeric::entry
