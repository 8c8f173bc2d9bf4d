#include "turmeric/engines/output_estimate.h"

#include <algorithm>
#include <cmath>

namespace turmeric::engines {

namespace {

/** Streams of a route by which the ratio is judged: about ten seconds of a busy
 * route at one instance. */
constexpr size_t kWindow = 64;
/** Fewer streams than this say nothing about a quantile of 0.8. */
constexpr size_t kMinRatios = 10;
/** Bounds of the ratio, so that a few odd streams neither fill an engine with
 * reservations nor empty it. */
constexpr double kMinRatio = 0.25;
constexpr double kMaxRatio = 4;
constexpr double kQuantile = 0.8;
/** Weight of a new sample in the moving means. */
constexpr double kMeanWeight = 0.1;
/** Routes that are remembered; routes are configured, so more are not expected.
 */
constexpr size_t kMaxRoutes = 1024;
/** Larger counts and hints are taken for errors. */
constexpr int64_t kMaxTokens = 10'000'000;

bool IsPlausible(int64_t tokens) { return tokens > 0 && tokens <= kMaxTokens; }

double Quantile(std::vector<double> values, double quantile) {
  const auto rank = static_cast<std::ptrdiff_t>(
      quantile * static_cast<double>(values.size() - 1));
  std::ranges::nth_element(values, values.begin() + rank);
  return values[static_cast<size_t>(rank)];
}

void MoveMean(double& mean, double sample) {
  mean = mean == 0 ? sample : mean + kMeanWeight * (sample - mean);
}

}  // namespace

void OutputEstimate::AddRatio(Route& route, double ratio) {
  if (route.ratios.size() < kWindow) {
    route.ratios.push_back(ratio);
  } else {
    route.ratios[route.next] = ratio;
    route.next = (route.next + 1) % kWindow;
  }
  route.median = Quantile(route.ratios, 0.5);
  route.high = Quantile(route.ratios, kQuantile);
}

void OutputEstimate::Note(std::string_view route, const OutputSeen& seen) {
  if (!IsPlausible(seen.events)) return;
  auto it = routes_.find(route);
  if (it == routes_.end()) {
    if (routes_.size() >= kMaxRoutes) return;
    it = routes_.emplace(route, Route{}).first;
  }
  Route& known = it->second;
  const auto events = static_cast<double>(seen.events);
  MoveMean(known.mean_events, events);
  ++known.streams;
  if (seen.tokens && IsPlausible(*seen.tokens)) {
    MoveMean(known.tokens_per_event,
             static_cast<double>(*seen.tokens) / events);
  }
  if (IsPlausible(seen.hinted)) {
    AddRatio(known, events / static_cast<double>(seen.hinted));
  }
}

std::optional<double> OutputEstimate::TokensPerEvent(const Route& route) {
  if (route.tokens_per_event > 0) return route.tokens_per_event;
  if (route.ratios.size() < kMinRatios) return std::nullopt;
  return 1 / route.median;
}

int64_t OutputEstimate::Tokens(std::string_view route,
                               const OutputHint& hint) const {
  const int64_t maximum = IsPlausible(hint.maximum) ? hint.maximum : kMaxTokens;
  const int64_t unknown = IsPlausible(hint.maximum) ? hint.maximum : 0;
  const auto it = routes_.find(route);
  const bool hinted = IsPlausible(hint.hinted);
  const std::optional<double> per_event =
      it == routes_.end() ? std::nullopt : TokensPerEvent(it->second);
  if (!per_event) return hinted ? std::min(hint.hinted, maximum) : unknown;
  double tokens = it->second.mean_events * *per_event;
  if (hinted) {
    const bool judged = it->second.ratios.size() >= kMinRatios;
    const double ratio =
        judged ? std::clamp(it->second.high * *per_event, kMinRatio, kMaxRatio)
               : 1;
    tokens = static_cast<double>(hint.hinted) * ratio;
  }
  return std::min(static_cast<int64_t>(std::ceil(tokens)), maximum);
}

}  // namespace turmeric::engines
