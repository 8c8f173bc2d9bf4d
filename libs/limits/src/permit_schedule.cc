#include "turmeric/limits/permit_schedule.h"

#include <algorithm>

namespace turmeric::limits {

namespace {

Clock::duration Seconds(double seconds) {
  return std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

PermitSchedule::PermitSchedule(double per_s, double first_after,
                               Clock::time_point now)
    : per_s_(per_s), full_at_(now + burst() + Seconds(first_after / per_s)) {}

Clock::duration PermitSchedule::interval() const { return Seconds(1 / per_s_); }

Clock::duration PermitSchedule::burst() const { return kBurstTime; }

void PermitSchedule::SetRate(double per_s, Clock::time_point now) {
  if (per_s == per_s_) return;
  const auto wait = std::chrono::duration<double>(NextSlot(now) - now);
  const double scale = per_s_ / per_s;
  per_s_ = per_s;
  full_at_ = now + burst() + Seconds(wait.count() * scale);
}

Clock::time_point PermitSchedule::NextSlot(Clock::time_point now) const {
  return std::max(now, full_at_ - burst());
}

void PermitSchedule::Take(Clock::time_point now) {
  full_at_ = std::max(full_at_, NextSlot(now)) + interval();
}

}  // namespace turmeric::limits
