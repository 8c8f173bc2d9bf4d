#include "turmeric/fairness/share_controller.h"

#include <algorithm>

namespace turmeric::fairness {

namespace {

constexpr double kMsPerSecond = 1000;
/** Work in progress over slots from which the capacity shrinks, and below which
 * it grows. Instances choose upstreams by what they see, so that requests wait
 * at some while slots of others are free: with less work than slots, more than
 * a fifth of the slots stays idle. */
constexpr double kOverload = 1.1;
constexpr double kTarget = 1.05;
constexpr double kShrink = 0.9;
constexpr double kGrow = 1.05;
/** Part of the served work that stays admitted while the capacity shrinks.
 * Lower values leave slots idle once the queue from before has ended. */
constexpr double kServedFloor = 0.9;
/** Part of the slots' capacity that always stays admitted. Without it, an
 * outage of all upstreams would shrink the capacity to nothing, from which
 * steps do not grow it again. From here, it takes 7 s to the whole capacity. */
constexpr double kMinPart = 0.2;

}  // namespace

std::optional<double> ShareController::Update(const FleetLoad& load,
                                              bool limited,
                                              Clock::time_point now) {
  if (step_at_ && now - *step_at_ < kStep) return capacity_;
  step_at_ = now;
  // Without usable upstreams, there is no capacity to divide.
  if (load.slots <= 0) capacity_.reset();
  const bool overloaded = load.in_progress > kOverload * load.slots;
  if (!capacity_) {
    if (overloaded && load.slots > 0) {
      capacity_ = std::min(load.demand, load.slots * kMsPerSecond);
    }
    return capacity_;
  }
  if (overloaded) {
    capacity_ = std::max({kShrink * std::min(*capacity_, load.demand),
                          kServedFloor * load.served,
                          kMinPart * load.slots * kMsPerSecond});
  } else if (load.in_progress < kTarget * load.slots && limited) {
    capacity_ = *capacity_ * kGrow;
  } else if (load.in_progress < load.slots && load.demand < *capacity_) {
    capacity_.reset();
  }
  return capacity_;
}

}  // namespace turmeric::fairness
