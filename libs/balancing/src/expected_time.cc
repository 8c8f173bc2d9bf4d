#include "turmeric/balancing/expected_time.h"

#include <algorithm>

namespace turmeric::balancing {

namespace {

/** Service time on the last free slot: upstreams slow down when nearly full,
 * and the request that takes the slot makes the next one wait. */
constexpr double kLastSlotFactor = 4.0 / 3.0;
/** Part of the age of the oldest unanswered request that counts as time for a
 * new one. With reports some hundred ms old, it shows first that an upstream
 * has become slow; the answer is likely to take about as long again. */
constexpr double kUnansweredFactor = 2.0;
/** Ratio of service times from which upstreams count as uneven, and the number
 * of samples from which a service time counts. */
constexpr double kUnevenRatio = 1.25;
constexpr int kMinSamples = 8;
/** Used while no service time is known; any value gives the same choices. */
constexpr double kUnknownServiceMs = 1.0;

}  // namespace

ServiceMean MeanOf(std::span<const UpstreamState> upstreams,
                   Clock::time_point now) {
  double service_ms = 0;
  double known = 0;
  double ahead = 0;
  double slots = 0;
  for (const UpstreamState& u : upstreams) {
    if (u.load->speed().samples() > 0) {
      service_ms += u.load->speed().learned();
      ++known;
    }
    const double weight = u.load->ReportWeight(now);
    if (weight == 0) continue;
    const LoadReport& report = *u.load->report();
    ahead += weight * (static_cast<double>(report.running) +
                       static_cast<double>(report.waiting));
    slots += weight * std::max(1, u.slots);
  }
  return {.service_ms = known == 0 ? kUnknownServiceMs : service_ms / known,
          .ahead_per_slot = slots == 0 ? 0 : ahead / slots};
}

bool IsUneven(std::span<const UpstreamState> upstreams, Clock::time_point now) {
  double least = 0;
  double most = 0;
  for (const UpstreamState& u : upstreams) {
    if (u.load->HasPace(now)) return true;
    const SpeedEstimate& speed = u.load->speed();
    if (speed.samples() < kMinSamples) continue;
    least = least == 0 ? speed.learned() : std::min(least, speed.learned());
    most = std::max(most, speed.learned());
  }
  return most > 0 && most >= kUnevenRatio * least;
}

double ServiceTime(const UpstreamState& state, const ServiceMean& mean,
                   double work, Clock::time_point now) {
  return work * state.load->speed().At(mean.service_ms, now) *
         state.load->Pace(now);
}

double ExpectedTime(const UpstreamState& state, const ServiceMean& mean,
                    double work, Clock::time_point now) {
  const double slots = std::max(1, state.slots);
  const double ahead = state.load->Ahead(mean.ahead_per_slot * slots, now);
  const double last_slot = std::clamp(ahead - (slots - 2.0), 0.0, 1.0);
  const double crowded =
      slots < 2 ? 1.0 : 1.0 + (kLastSlotFactor - 1.0) * last_slot;
  const double waits = std::max(0.0, ahead + 1.0 - slots) / slots;
  return ServiceTime(state, mean, work, now) * (crowded + waits) +
         kUnansweredFactor * state.load->OldestUnansweredMs(now);
}

}  // namespace turmeric::balancing
