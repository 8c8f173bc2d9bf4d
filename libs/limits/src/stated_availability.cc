#include "turmeric/limits/stated_availability.h"

#include <utility>

namespace turmeric::limits {

bool StatedAvailability::SetLeaving() { return !std::exchange(leaving_, true); }

bool StatedAvailability::Rest(Clock::time_point until, Clock::time_point now) {
  if (until <= now || until <= rests_until_) return false;
  const bool begins = rests_until_ <= now;
  rests_until_ = until;
  has_rested_ = true;
  return begins;
}

bool StatedAvailability::EndRest(Clock::time_point now) {
  if (!has_rested_ || now < rests_until_) return false;
  has_rested_ = false;
  return true;
}

}  // namespace turmeric::limits
