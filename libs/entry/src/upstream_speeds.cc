#include "turmeric/entry/upstream_speeds.h"

#include <chrono>
#include <map>
#include <string>
#include <utility>

#include "turmeric/entry/entry_context.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using routing::Clock;
using routing::UpstreamPtr;

namespace {

/** Bounds the number of metrics. */
constexpr size_t kMaxSpeeds = 64;
constexpr std::chrono::seconds kLogInterval{1};

}  // namespace

void ReportSpeed(EntryContext& context, routing::Upstream& upstream,
                 Clock::time_point now) {
  if (!context.Uses(config::Mechanism::kExpectedTime)) return;
  Clock::time_point& logged_at =
      context.speed_logged_at[upstream.entry.service];
  if (now < logged_at + kLogInterval) return;
  const auto change = upstream.load.TakeSpeedChange(now);
  if (!change) return;
  logged_at = now;
  const auto& report = upstream.load.report();
  utils::DecisionLog line("upstream_pace");
  line.Add("service", upstream.entry.service)
      .Add("upstream", upstream.entry.id)
      .Add("service_time", change->after)
      .Add("before", change->before)
      .Add("pace", upstream.load.Pace(now));
  if (report) {
    line.Add(
        "report_age_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(now - report->at)
            .count());
  }
}

std::vector<UpstreamSpeed> UpstreamSpeeds(const EntryContext& context) {
  std::vector<UpstreamSpeed> speeds;
  std::map<std::string, std::pair<double, int>> sums;
  const std::vector<UpstreamPtr> all = context.upstreams.All();
  for (const UpstreamPtr& u : all) {
    if (u->load.speed().samples() == 0) continue;
    auto& [sum, count] = sums[u->entry.service];
    sum += u->load.speed().learned();
    ++count;
  }
  for (const UpstreamPtr& u : all) {
    if (u->load.speed().samples() == 0) continue;
    if (speeds.size() >= kMaxSpeeds) break;
    const auto& [sum, count] = sums.at(u->entry.service);
    if (sum <= 0) continue;
    speeds.push_back({.service = u->entry.service,
                      .upstream = u->entry.id,
                      .relative = u->load.speed().learned() * count / sum});
  }
  return speeds;
}

}  // namespace turmeric::entry
