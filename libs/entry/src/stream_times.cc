#include "turmeric/entry/stream_times.h"

#include <cstddef>
#include <cstdint>

namespace turmeric::entry {

using std::chrono::milliseconds;

namespace {

/** Routes come and go with the configuration; what is remembered is bounded, at
 * a few times as many as large configurations have. */
constexpr size_t kMostRoutes = 10000;

}  // namespace

void StreamTimes::Note(const std::string& route, milliseconds took) {
  if (ms_.size() > kMostRoutes) ms_.clear();
  const auto ms = static_cast<double>(took.count());
  const auto [it, is_new] = ms_.try_emplace(route, utils::TailEstimate{ms, 0});
  if (!is_new) utils::Note(it->second, ms);
}

milliseconds StreamTimes::Expected(std::string_view route) const {
  const auto it = ms_.find(route);
  if (it == ms_.end()) return milliseconds(0);
  return milliseconds(static_cast<int64_t>(utils::Expected(it->second)));
}

}  // namespace turmeric::entry
