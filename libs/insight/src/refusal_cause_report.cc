#include "turmeric/insight/refusal_cause_report.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace turmeric::insight {

namespace {

/** @return the number in a field; 0 if it is absent or not a number. */
double Decimal(const LogEvent& event, std::string_view key) {
  return std::strtod(std::string(event.Text(key)).c_str(), nullptr);
}

/** Name of an organisation or instance that a line may leave empty. */
std::string OrNone(std::string_view name) {
  return name.empty() ? "-" : std::string(name);
}

}  // namespace

void RefusalCauseReport::Range::Add(double value) {
  min = empty ? value : std::min(min, value);
  max = empty ? value : std::max(max, value);
  empty = false;
}

std::string RefusalCauseReport::Range::Text() const {
  std::ostringstream text;
  constexpr int kDigits = 10;
  text.precision(kDigits);
  text << min;
  if (max > min) text << " to " << max;
  return text.str();
}

void RefusalCauseReport::Add(const LogEvent& event) {
  if (event.name == "share_exceeded") return AddShare(event);
  if (event.name == "memory_pressure") return AddMemory(event);
  if (event.name != "request_end") return;
  const std::string_view outcome = event.Text("outcome");
  if (outcome == "over_share") ++over_share_[OrNone(event.Text("route"))];
  if (outcome == "memory_full") ++memory_full_[OrNone(event.instance)];
}

void RefusalCauseReport::AddShare(const LogEvent& event) {
  Share& share = shares_[{OrNone(event.Text("service")),
                          OrNone(event.Text("organisation"))}];
  share.demand.Add(Decimal(event, "demand"));
  share.level.Add(Decimal(event, "level"));
  share.fraction.Add(Decimal(event, "fraction"));
  share.plan_age_ms.Add(Decimal(event, "plan_age_ms"));
  ++share.lines;
}

void RefusalCauseReport::AddMemory(const LogEvent& event) {
  Memory& memory = memory_[OrNone(event.instance)];
  memory.held.Add(Decimal(event, "held"));
  memory.bound.Add(Decimal(event, "bound"));
  ++memory.levels[OrNone(event.Text("level"))];
}

std::string RefusalCauseReport::RenderShares() const {
  if (over_share_.empty() && shares_.empty()) return {};
  std::ostringstream out;
  out << "over share: refused by route, then the organisations above their "
         "share\n";
  for (const auto& [route, count] : over_share_) {
    out << "  route " << route << "  refused " << count << "\n";
  }
  for (const auto& [names, share] : shares_) {
    out << "  service " << names.first << "  organisation " << names.second
        << "  demand " << share.demand.Text() << "  level "
        << share.level.Text() << "  admitted " << share.fraction.Text()
        << "  age of the plan " << share.plan_age_ms.Text() << " ms  lines "
        << share.lines << "\n";
  }
  return out.str();
}

std::string RefusalCauseReport::RenderMemory() const {
  if (memory_full_.empty() && memory_.empty()) return {};
  std::ostringstream out;
  out << "memory full: refused by instance, then the bounds of the instances "
         "under pressure\n";
  for (const auto& [instance, count] : memory_full_) {
    out << "  instance " << instance << "  refused " << count << "\n";
  }
  for (const auto& [instance, memory] : memory_) {
    out << "  instance " << instance << "  bound " << memory.bound.Text()
        << "  held " << memory.held.Text();
    for (const auto& [level, count] : memory.levels) {
      out << "  " << level << ": " << count;
    }
    out << "\n";
  }
  return out.str();
}

std::string RefusalCauseReport::Render() const {
  return RenderShares() + RenderMemory();
}

}  // namespace turmeric::insight
