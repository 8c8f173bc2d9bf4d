#include "turmeric/fairness/max_min_level.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <vector>

namespace turmeric::fairness {

double MaxMinLevel(double capacity, std::span<const double> demands) {
  const double total = std::accumulate(demands.begin(), demands.end(), 0.0);
  if (total <= capacity) return std::numeric_limits<double>::infinity();
  std::vector<double> sorted(demands.begin(), demands.end());
  std::ranges::sort(sorted);
  double left = std::max(0.0, capacity);
  size_t sharers = sorted.size();
  for (const double demand : sorted) {
    const double level = left / static_cast<double>(sharers);
    if (demand >= level) return level;
    left -= demand;
    --sharers;
  }
  // Reached by rounding only: the sum exceeds the capacity.
  return sorted.empty() ? 0 : sorted.back();
}

}  // namespace turmeric::fairness
