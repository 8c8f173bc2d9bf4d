#include "turmeric/insight/crash_report.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <vector>

namespace turmeric::insight {

namespace {

/** Smallest number of upstreams that broke off for a fingerprint to be shown.
 * Most fingerprints with fewer were running on an upstream that stopped for
 * another reason. */
constexpr size_t kMinUpstreams = 2;
constexpr int64_t kHttpServiceUnavailable = 503;

double Seconds(std::chrono::milliseconds time) {
  return std::chrono::duration<double>(time).count();
}

/** @return the fingerprint of the event's request and its prompt parts. */
std::vector<std::string> TraitsOf(const LogEvent& event) {
  std::vector<std::string> traits{std::string(event.Text("work"))};
  constexpr char kSeparator = '+';
  std::string_view parts = event.Text("parts");
  if (parts == "-") return traits;
  while (!parts.empty()) {
    const size_t end = std::min(parts.find(kSeparator), parts.size());
    traits.emplace_back(parts.substr(0, end));
    parts.remove_prefix(std::min(end + 1, parts.size()));
  }
  return traits;
}

}  // namespace

void CrashReport::Add(const LogEvent& event) {
  if (event.Text("work").empty()) return;
  const bool broke_off = event.name == "upstream_broke_off";
  if (!broke_off && event.name != "request_end") return;
  for (const std::string& trait : TraitsOf(event)) {
    if (broke_off) {
      AddBrokenCall(event, traits_[trait]);
    } else {
      AddRequestEnd(event, traits_[trait]);
    }
  }
}

void CrashReport::AddBrokenCall(const LogEvent& event, TraitStats& stats) {
  stats.upstreams.emplace(event.Text("upstream"));
  stats.instances.insert(event.instance);
  stats.first = std::min(stats.first, event.at);
  stats.last = std::max(stats.last, event.at);
}

void CrashReport::AddRequestEnd(const LogEvent& event, TraitStats& stats) {
  ++stats.requests;
  if (event.Text("outcome") == "answered") ++stats.answered;
  if (event.Number("status") == kHttpServiceUnavailable) ++stats.refused;
}

std::string CrashReport::Render() const {
  std::vector<std::pair<std::string, const TraitStats*>> shown;
  for (const auto& [name, stats] : traits_) {
    if (stats.upstreams.size() < kMinUpstreams) continue;
    shown.emplace_back(name, &stats);
  }
  std::ranges::stable_sort(shown, std::ranges::greater(), [](const auto& row) {
    return row.second->upstreams.size();
  });
  std::ostringstream out;
  out << "work or part      upstreams  instances  copies  answered  refused  "
         "over s\n";
  for (const auto& [name, stats] : shown) {
    out << std::left << std::setw(16) << name << std::right << std::setw(11)
        << stats->upstreams.size() << std::setw(11) << stats->instances.size()
        << std::setw(8) << stats->requests << std::setw(10) << stats->answered
        << std::setw(9) << stats->refused << std::setw(8) << std::fixed
        << std::setprecision(1) << Seconds(stats->last - stats->first) << "\n";
  }
  return out.str();
}

}  // namespace turmeric::insight
