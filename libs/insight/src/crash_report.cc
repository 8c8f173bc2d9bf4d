#include "turmeric/insight/crash_report.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <vector>

namespace turmeric::insight {

namespace {

/** Works that broke fewer upstreams off are not shown: most of those only ran
 * on an upstream that ended for another reason. */
constexpr size_t kLeastUpstreams = 2;
constexpr int64_t kUnavailable = 503;

double Seconds(std::chrono::milliseconds time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

void CrashReport::Add(const LogEvent& event) {
  if (event.Text("work").empty()) return;
  if (event.name == "upstream_broke_off") AddBreak(event);
  if (event.name == "request_end") AddEnd(event);
}

void CrashReport::AddBreak(const LogEvent& event) {
  Work& work = works_[std::string(event.Text("work"))];
  work.upstreams.emplace(event.Text("upstream"));
  work.instances.insert(event.instance);
  work.first = std::min(work.first, event.at);
  work.last = std::max(work.last, event.at);
}

void CrashReport::AddEnd(const LogEvent& event) {
  Work& work = works_[std::string(event.Text("work"))];
  ++work.copies;
  if (event.Text("outcome") == "answered") ++work.answered;
  if (event.Number("status") == kUnavailable) ++work.refused;
}

std::string CrashReport::Render() const {
  std::vector<std::pair<std::string, const Work*>> shown;
  for (const auto& [name, work] : works_) {
    if (work.upstreams.size() < kLeastUpstreams) continue;
    shown.emplace_back(name, &work);
  }
  std::ranges::stable_sort(shown, std::ranges::greater(), [](const auto& row) {
    return row.second->upstreams.size();
  });
  std::ostringstream out;
  out << "work              upstreams  instances  copies  answered  refused  "
         "over s\n";
  for (const auto& [name, work] : shown) {
    out << std::left << std::setw(16) << name << std::right << std::setw(11)
        << work->upstreams.size() << std::setw(11) << work->instances.size()
        << std::setw(8) << work->copies << std::setw(10) << work->answered
        << std::setw(9) << work->refused << std::setw(8) << std::fixed
        << std::setprecision(1) << Seconds(work->last - work->first) << "\n";
  }
  return out.str();
}

}  // namespace turmeric::insight
