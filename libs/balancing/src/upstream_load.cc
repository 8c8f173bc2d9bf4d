#include "turmeric/balancing/upstream_load.h"

#include <algorithm>
#include <cmath>

namespace turmeric::balancing {

namespace {

/** Time constants with which a report loses weight. Requests run for some
 * hundred ms, after which those in the report have been replaced by others;
 * other work on a machine slows it for about a second. */
constexpr double kAheadDecayMs = 300.0;
constexpr double kPaceDecayMs = 500.0;
/** Weight of a report in the usual number of requests, and the time constant
 * with which this number approaches the mean of the service. An upstream with a
 * longer queue than others keeps it for longer than a report counts. */
constexpr double kUsualWeight = 0.2;
constexpr double kUsualDecayMs = 10'000.0;
/** Age from which a report has no weight. */
constexpr double kReportEndMs = 1000.0;
/** A pace below is taken as this one. The advantage equals that of a free slot
 * (see kLastSlotFactor), so that a false pace alone does not attract all
 * requests. */
constexpr double kBestPace = 0.75;
/** A pace that differs from the usual one by less does not count as uneven. */
constexpr double kUnevenPace = 1.25;
/** How long a reported pace makes a service uneven: a few of the changes, which
 * last for about a second. */
constexpr std::chrono::seconds kPaceMemory{10};

/** Ratio from which a change of the speed is worth a log line, and the number
 * of samples before the first one. */
constexpr double kNotedRatio = 1.5;
constexpr int kMinSamplesToNote = 8;

double AgeMs(Clock::time_point at, Clock::time_point now) {
  return std::max(0.0,
                  std::chrono::duration<double, std::milli>(now - at).count());
}

double Reported(const LoadReport& report) {
  return static_cast<double>(report.running) +
         static_cast<double>(report.waiting);
}

}  // namespace

OpenSend UpstreamLoad::OnSend(Clock::time_point now) {
  open_.push_back({.sent_at = now});
  return {.at = now, .pace = Pace(now)};
}

void UpstreamLoad::OnEnd(const OpenSend& send) {
  const auto it = std::ranges::find(open_, send.at, &OpenRequest::sent_at);
  if (it == open_.end()) return;
  *it = open_.back();
  open_.pop_back();
}

void UpstreamLoad::OnReport(LoadReport report) {
  if (report.running < 0 || report.waiting < 0 || report.slots < 1) return;
  if (!std::isfinite(report.pace)) return;
  report.pace = std::clamp(report.pace, kBestPace, kMaxPace);
  if (report.pace >= kUnevenPace) paced_at_ = report.at;
  usual_ahead_ +=
      (report_ ? kUsualWeight : 1.0) * (Reported(report) - usual_ahead_);
  report_ = report;
}

void UpstreamLoad::OnServed(const OpenSend& send, double work,
                            Clock::time_point now) {
  const auto it = std::ranges::find(open_, send.at, &OpenRequest::sent_at);
  if (it != open_.end()) it->answered = true;
  if (!std::isfinite(work) || work <= 0) return;
  SpeedSample sample{.ms = AgeMs(send.at, now) / work, .waited = 0};
  if (!report_ || report_->at < send.at) {
    sample.ms /= send.pace;
  } else {
    // Over many requests, the queue that an answer leaves behind is as long as
    // the queue that a request meets.
    sample.ms /= report_->pace;
    sample.waited = std::max(0.0, Reported(*report_) + 1.0 - report_->slots) /
                    report_->slots;
  }
  speed_.Add(sample, now);
}

double UpstreamLoad::ReportWeight(Clock::time_point now) const {
  if (!report_) return 0;
  const double age_ms = AgeMs(report_->at, now);
  return age_ms >= kReportEndMs ? 0 : std::exp(-age_ms / kAheadDecayMs);
}

double UpstreamLoad::Ahead(double mean, Clock::time_point now) const {
  const auto own = static_cast<double>(open_.size());
  if (!report_) return mean + own;
  const double weight = ReportWeight(now);
  const double usual_weight =
      std::exp(-AgeMs(report_->at, now) / kUsualDecayMs);
  const double usual = mean + usual_weight * (usual_ahead_ - mean);
  // A report without weight does not tell which requests it has counted.
  const auto since = weight == 0
                         ? own
                         : static_cast<double>(std::ranges::count_if(
                               open_, [this](const OpenRequest& request) {
                                 return request.sent_at >= report_->at;
                               }));
  return std::max(own, usual + weight * (Reported(*report_) - usual) + since);
}

double UpstreamLoad::OldestUnansweredMs(Clock::time_point now) const {
  double oldest_ms = 0;
  for (const OpenRequest& request : open_) {
    if (request.answered) continue;
    oldest_ms = std::max(oldest_ms, AgeMs(request.sent_at, now));
  }
  return oldest_ms;
}

std::optional<SpeedChange> UpstreamLoad::TakeSpeedChange(
    Clock::time_point now) {
  if (speed_.samples() < kMinSamplesToNote) return std::nullopt;
  const SpeedChange change{.before = noted_speed_,
                           .after = speed_.learned() * Pace(now)};
  const bool first = noted_speed_ == 0;
  const bool changed = change.after >= kNotedRatio * change.before ||
                       change.after * kNotedRatio <= change.before;
  if (!first && !changed) return std::nullopt;
  noted_speed_ = change.after;
  return first ? std::nullopt : std::optional(change);
}

double UpstreamLoad::Pace(Clock::time_point now) const {
  if (!report_) return 1;
  const double age_ms = AgeMs(report_->at, now);
  if (age_ms >= kReportEndMs) return 1;
  return 1.0 + (report_->pace - 1.0) * std::exp(-age_ms / kPaceDecayMs);
}

bool UpstreamLoad::HasPace(Clock::time_point now) const {
  return paced_at_ != Clock::time_point() && now < paced_at_ + kPaceMemory;
}

}  // namespace turmeric::balancing
