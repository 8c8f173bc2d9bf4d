#include "turmeric/insight/request_outcome_report.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <vector>

namespace turmeric::insight {

using std::chrono::milliseconds;

namespace {

/** Length of a window: long enough for several calls of each upstream, short
 * compared with a burst. */
constexpr milliseconds kWindow{2000};
constexpr int64_t kHttpOk = 200;
constexpr int64_t kHttpMultipleChoices = 300;

template <class... Values>
std::string Line(const char* format, Values... values) {
  constexpr size_t kMaxLineLength = 400;
  std::string line(kMaxLineLength, ' ');
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg)
  const int size = std::snprintf(line.data(), line.size(), format, values...);
  line.resize(std::min(kMaxLineLength, static_cast<size_t>(std::max(0, size))));
  return line + "\n";
}

double Ratio(int64_t part, int64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

const char* CauseName(DelayCause cause) {
  switch (cause) {
    case DelayCause::kEarlierAttempts:
      return "earlier attempts";
    case DelayCause::kStages:
      return "stages";
    case DelayCause::kUpstream:
      return "upstream";
  }
  return "";
}

/** @return milliseconds until the part of the answer that the latency target
 * applies to: the first byte if `first_ms` is set, otherwise the end. */
int64_t LatencyMs(const LogEvent& end) {
  const int64_t first = end.Number("first_ms", -1);
  return first >= 0 ? first : end.Number("ms");
}

}  // namespace

DelayCause FindDelayCause(const LogEvent& end) {
  const int64_t used = end.Number("used_ms");
  const int64_t stages = std::max<int64_t>(0, end.Number("stages_ms", 0));
  const int64_t upstream = LatencyMs(end) - stages;
  if (used >= stages && used >= upstream) return DelayCause::kEarlierAttempts;
  return stages >= upstream ? DelayCause::kStages : DelayCause::kUpstream;
}

void RequestOutcomeReport::Add(const LogEvent& event) {
  if (event.name == "stage_call_done") AddCall(event);
  if (event.name == "request_end") AddRequest(event);
  refusals_.Add(event);
}

void RequestOutcomeReport::AddCall(const LogEvent& event) {
  Service& service = services_[std::string(event.Text("service"))];
  service.upstreams.emplace(event.Text("upstream"));
  Window& window = service.windows[event.at / kWindow];
  ++window.calls;
  window.pieces += event.Number("pieces");
  window.capacity += event.Number("batch");
  window.waiting += event.Number("waiting");
  window.busy_ms += event.Number("ms");
}

void RequestOutcomeReport::AddRequest(const LogEvent& event) {
  Route& route = routes_[std::string(event.Text("route"))];
  ++route.requests;
  const int64_t status = event.Number("status");
  if (status < kHttpOk || status >= kHttpMultipleChoices) {
    ++route.lost[std::string(event.Text("status")) + " " +
                 std::string(event.Text("outcome"))];
    return;
  }
  const int64_t took = LatencyMs(event) + event.Number("used_ms");
  const int64_t target = event.Number("target_ms");
  if (target == 0 || took <= target) {
    ++route.within_target;
  } else {
    ++route.late[FindDelayCause(event)];
  }
}

std::string RequestOutcomeReport::RenderServices() const {
  std::string out =
      "stage services, every 2 s: busy share of the upstreams' "
      "time, fill of the calls, pieces waiting\n";
  for (const auto& [name, service] : services_) {
    out += Line("%s, %zu upstreams", name.c_str(), service.upstreams.size());
    const int64_t first = service.windows.begin()->first;
    const int64_t capacity_ms =
        kWindow.count() * static_cast<int64_t>(service.upstreams.size());
    for (const auto& [number, window] : service.windows) {
      out += Line("  %4" PRId64
                  " s  busy %.2f  fill %.2f  waiting %.0f  calls %" PRId64,
                  static_cast<int64_t>((number - first) * kWindow.count() /
                                       milliseconds(1000).count()),
                  Ratio(window.busy_ms, capacity_ms),
                  Ratio(window.pieces, window.capacity),
                  Ratio(window.waiting, window.calls), window.calls);
    }
  }
  return out;
}

std::string RequestOutcomeReport::RenderRoutes() const {
  std::string out =
      "routes: requests, answered in their target, late by what "
      "took most of their time, lost by status and outcome\n";
  for (const auto& [name, route] : routes_) {
    out += Line("%s  requests %" PRId64 "  in target %.3f", name.c_str(),
                route.requests, Ratio(route.within_target, route.requests));
    for (const auto& [cause, count] : route.late) {
      out += Line("  late by %s: %" PRId64, CauseName(cause), count);
    }
    std::vector<std::pair<int64_t, std::string>> lost;
    for (const auto& [why, count] : route.lost) lost.emplace_back(count, why);
    std::ranges::sort(lost, std::ranges::greater());
    for (const auto& [count, why] : lost) {
      out += Line("  %s: %" PRId64, why.c_str(), count);
    }
  }
  return out;
}

std::string RequestOutcomeReport::Render() const {
  return RenderServices() + RenderRoutes() + refusals_.Render();
}

}  // namespace turmeric::insight
