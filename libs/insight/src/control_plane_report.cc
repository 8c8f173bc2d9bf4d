#include "turmeric/insight/control_plane_report.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>
#include <string_view>

namespace turmeric::insight {

using std::chrono::milliseconds;

namespace {

constexpr std::string_view kConfigInForce = "config_in_force";
constexpr std::string_view kColdLimitReached = "cold_limit_reached";
constexpr std::string_view kStoreSource = "store";
/** Instances whose log does not name them. */
constexpr std::string_view kUnnamed = "(not named)";

/** An event that tells something of the paths to the store, and which of its
 * fields say what. */
struct PathEvent {
  std::string_view name;
  std::array<std::string_view, 4> fields;
};

constexpr std::array<PathEvent, 15> kPathEvents = {{
    {"started", {"zone", "", "", ""}},
    {kConfigInForce, {"version", "before", "revision", "source"}},
    {"store_watched", {"why", "followers", "store_age_ms", ""}},
    {"store_not_watched", {"why", "followers", "store_age_ms", ""}},
    {"store_lost", {"watch", "why", "", ""}},
    {"store_regained", {"watch", "why", "", ""}},
    {"store_era", {"before", "era", "", ""}},
    {"store_came_back", {"watch", "source", "era", "revision"}},
    {"relay_passed_by", {"peer", "why", "", ""}},
    {"relays_for_others", {"first", "", "", ""}},
    {"relayed_changes_gap", {"source", "watch", "follows", "known"}},
    {"relayed_changes_unreadable", {"source", "revision", "", ""}},
    {"evacuation", {"zone", "source", "revision", "from_copy"}},
    {"evacuation_taken_back", {"zone", "source", "revision", "from_copy"}},
    {"evacuations_in_force", {"zones", "zones_before", "upstreams", ""}},
}};

std::string Clock(milliseconds time_of_day) {
  const std::chrono::hh_mm_ss parts(time_of_day);
  std::ostringstream out;
  out << std::setfill('0') << std::setw(2) << parts.hours().count() << ':'
      << std::setw(2) << parts.minutes().count() << ':' << std::setw(2)
      << parts.seconds().count() << '.' << std::setw(3)
      << parts.subseconds().count();
  return out.str();
}

std::string Describe(const PathEvent& form, const LogEvent& event) {
  std::string text(form.name);
  for (const std::string_view field : form.fields) {
    if (field.empty()) continue;
    text.append(" ").append(field).append("=").append(event.Text(field));
  }
  return text;
}

}  // namespace

void ControlReport::Add(const LogEvent& event) {
  if (event.name == kColdLimitReached) {
    ++cold_waits_[std::string(event.Text("service"))];
  }
  const auto* const form =
      std::ranges::find(kPathEvents, event.name, &PathEvent::name);
  if (form == kPathEvents.end()) return;
  if (event.name == kConfigInForce) AddVersion(event);
  const std::string instance =
      event.instance.empty() ? std::string(kUnnamed) : event.instance;
  instances_[instance].push_back({event.at, Describe(*form, event)});
}

void ControlReport::AddVersion(const LogEvent& event) {
  Version& version = versions_[event.Number("version")];
  version.first = std::min(version.first, event.at);
  version.last = std::max(version.last, event.at);
  const bool from_store = event.Text("source") == kStoreSource;
  ++(from_store ? version.from_store : version.from_others);
}

std::string ControlReport::Render() const {
  std::ostringstream out;
  out << "version  first in force  last in force  from the store  passed on\n";
  for (const auto& [number, version] : versions_) {
    out << std::setw(7) << number << "  " << std::setw(14)
        << Clock(version.first) << "  " << std::setw(13) << Clock(version.last)
        << "  " << std::setw(14) << version.from_store << "  " << std::setw(9)
        << version.from_others << "\n";
  }
  for (const auto& [service, waits] : cold_waits_) {
    out << "waits for room at upstreams that may be cold, " << service << ": "
        << waits << "\n";
  }
  for (const auto& [instance, lines] : instances_) {
    out << "\n" << instance << "\n";
    std::vector<Line> sorted = lines;
    std::ranges::stable_sort(sorted, {}, &Line::at);
    for (const Line& line : sorted) {
      out << "  " << Clock(line.at) << "  " << line.text << "\n";
    }
  }
  return out.str();
}

}  // namespace turmeric::insight
