#include "turmeric/insight/request_outcome_report.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <vector>

namespace turmeric::insight {

using std::chrono::milliseconds;

namespace {

/** Width of a span: some calls of each upstream, and short against a burst. */
constexpr milliseconds kSpan{2000};
constexpr int64_t kOk = 200;
constexpr int64_t kMultipleChoices = 300;

template <class... Values>
std::string Line(const char* format, Values... values) {
  constexpr size_t kLongest = 400;
  std::string line(kLongest, ' ');
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg)
  const int size = std::snprintf(line.data(), line.size(), format, values...);
  line.resize(std::min(kLongest, static_cast<size_t>(std::max(0, size))));
  return line + "\n";
}

double Ratio(int64_t part, int64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

const char* NameOf(LateBy cause) {
  switch (cause) {
    case LateBy::kEarlierAttempts:
      return "earlier attempts";
    case LateBy::kStages:
      return "stages";
    case LateBy::kUpstream:
      return "upstream";
  }
  return "";
}

/** @return when the part of the answer came that its target is measured by. */
int64_t AnsweredMs(const LogEvent& end) {
  const int64_t first = end.Number("first_ms", -1);
  return first >= 0 ? first : end.Number("ms");
}

}  // namespace

LateBy CauseOfLate(const LogEvent& end) {
  const int64_t used = end.Number("used_ms");
  const int64_t stages = std::max<int64_t>(0, end.Number("stages_ms", 0));
  const int64_t upstream = AnsweredMs(end) - stages;
  if (used >= stages && used >= upstream) return LateBy::kEarlierAttempts;
  return stages >= upstream ? LateBy::kStages : LateBy::kUpstream;
}

void LossReport::Add(const LogEvent& event) {
  if (event.name == "stage_call_done") AddCall(event);
  if (event.name == "request_end") AddRequest(event);
}

void LossReport::AddCall(const LogEvent& event) {
  Service& service = services_[std::string(event.Text("service"))];
  service.upstreams.emplace(event.Text("upstream"));
  Span& span = service.spans[event.at / kSpan];
  ++span.calls;
  span.pieces += event.Number("pieces");
  span.capacity += event.Number("batch");
  span.waiting += event.Number("waiting");
  span.busy_ms += event.Number("ms");
}

void LossReport::AddRequest(const LogEvent& event) {
  Route& route = routes_[std::string(event.Text("route"))];
  ++route.requests;
  const int64_t status = event.Number("status");
  if (status < kOk || status >= kMultipleChoices) {
    ++route.lost[std::string(event.Text("status")) + " " +
                 std::string(event.Text("outcome"))];
    return;
  }
  const int64_t took = AnsweredMs(event) + event.Number("used_ms");
  const int64_t target = event.Number("target_ms");
  if (target == 0 || took <= target) {
    ++route.in_target;
  } else {
    ++route.late[CauseOfLate(event)];
  }
}

std::string LossReport::RenderServices() const {
  std::string out =
      "stage services, every 2 s: busy share of the upstreams' "
      "time, fill of the calls, pieces waiting\n";
  for (const auto& [name, service] : services_) {
    out += Line("%s, %zu upstreams", name.c_str(), service.upstreams.size());
    const int64_t first = service.spans.begin()->first;
    const int64_t capacity_ms =
        kSpan.count() * static_cast<int64_t>(service.upstreams.size());
    for (const auto& [number, span] : service.spans) {
      out += Line("  %4" PRId64
                  " s  busy %.2f  fill %.2f  waiting %.0f  calls %" PRId64,
                  static_cast<int64_t>((number - first) * kSpan.count() /
                                       milliseconds(1000).count()),
                  Ratio(span.busy_ms, capacity_ms),
                  Ratio(span.pieces, span.capacity),
                  Ratio(span.waiting, span.calls), span.calls);
    }
  }
  return out;
}

std::string LossReport::RenderRoutes() const {
  std::string out =
      "routes: requests, answered in their target, late by what "
      "took most of their time, lost by status and outcome\n";
  for (const auto& [name, route] : routes_) {
    out += Line("%s  requests %" PRId64 "  in target %.3f", name.c_str(),
                route.requests, Ratio(route.in_target, route.requests));
    for (const auto& [cause, count] : route.late) {
      out += Line("  late by %s: %" PRId64, NameOf(cause), count);
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

std::string LossReport::Render() const {
  return RenderServices() + RenderRoutes();
}

}  // namespace turmeric::insight
