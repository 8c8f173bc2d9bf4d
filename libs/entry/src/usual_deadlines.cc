#include "turmeric/entry/usual_deadlines.h"

#include <algorithm>

namespace turmeric::entry {

using std::chrono::milliseconds;

namespace {

/** After a change of the callers' deadlines, the old ones are forgotten in two
 * of these; each instance sees some requests of a route in one. */
constexpr std::chrono::seconds kPeriod{10};
/** Differences up to this are the callers' own delays, not a return: a refused
 * caller pauses longer than this and has waited for the refusal before. */
constexpr milliseconds kJitter{100};

}  // namespace

milliseconds UsualDeadlines::Used(const std::string& route,
                                  std::optional<milliseconds> stated,
                                  Clock::time_point now) {
  if (!stated) return milliseconds(0);
  Longest& longest = by_route_[route];
  if (now - longest.period_began > kPeriod) {
    longest.before = longest.current;
    longest.current = milliseconds(0);
    longest.period_began = now;
  }
  longest.current = std::max(longest.current, *stated);
  const milliseconds used = std::max(longest.current, longest.before) - *stated;
  return used > kJitter ? used : milliseconds(0);
}

}  // namespace turmeric::entry
