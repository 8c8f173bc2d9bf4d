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
/** Heading for events from lines without an instance name. */
constexpr std::string_view kUnnamedInstance = "(not named)";

/** Name of an event that the report lists, and the fields to print; empty
 * entries are unused. */
struct EventFormat {
  std::string_view name;
  std::array<std::string_view, 4> fields;
};

constexpr std::array<EventFormat, 15> kReportedEvents = {{
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

std::string FormatTimeOfDay(milliseconds time_of_day) {
  const std::chrono::hh_mm_ss parts(time_of_day);
  std::ostringstream out;
  out << std::setfill('0') << std::setw(2) << parts.hours().count() << ':'
      << std::setw(2) << parts.minutes().count() << ':' << std::setw(2)
      << parts.seconds().count() << '.' << std::setw(3)
      << parts.subseconds().count();
  return out.str();
}

std::string Describe(const EventFormat& format, const LogEvent& event) {
  std::string text(format.name);
  for (const std::string_view field : format.fields) {
    if (field.empty()) continue;
    text.append(" ").append(field).append("=").append(event.Text(field));
  }
  return text;
}

}  // namespace

void ControlPlaneReport::Add(const LogEvent& event) {
  if (event.name == kColdLimitReached) {
    ++cold_waits_[std::string(event.Text("service"))];
  }
  const auto* const format =
      std::ranges::find(kReportedEvents, event.name, &EventFormat::name);
  if (format == kReportedEvents.end()) return;
  if (event.name == kConfigInForce) AddVersion(event);
  const std::string instance =
      event.instance.empty() ? std::string(kUnnamedInstance) : event.instance;
  instances_[instance].push_back({event.at, Describe(*format, event)});
}

void ControlPlaneReport::AddVersion(const LogEvent& event) {
  Version& version = versions_[event.Number("version")];
  version.first = std::min(version.first, event.at);
  version.last = std::max(version.last, event.at);
  const bool from_store = event.Text("source") == kStoreSource;
  ++(from_store ? version.from_store : version.from_peers);
}

std::string ControlPlaneReport::Render() const {
  std::ostringstream out;
  out << "version  first in force  last in force  from the store  passed on\n";
  for (const auto& [number, version] : versions_) {
    out << std::setw(7) << number << "  " << std::setw(14)
        << FormatTimeOfDay(version.first) << "  " << std::setw(13)
        << FormatTimeOfDay(version.last) << "  " << std::setw(14)
        << version.from_store << "  " << std::setw(9) << version.from_peers
        << "\n";
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
      out << "  " << FormatTimeOfDay(line.at) << "  " << line.text << "\n";
    }
  }
  return out.str();
}

}  // namespace turmeric::insight
