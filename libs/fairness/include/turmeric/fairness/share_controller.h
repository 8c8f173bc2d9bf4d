#pragma once

#include <chrono>
#include <optional>

#include "turmeric/fairness/demand_report.h"

namespace turmeric::fairness {

/** Load of one service, summed over the instances that report. */
struct FleetLoad {
  double in_progress = 0;  ///< Requests.
  double slots = 0;        ///< Of the usable upstreams.
  double served = 0;       ///< Slot milliseconds per second.
  double demand = 0;       ///< Slot milliseconds per second.
};

/**
 * Adapts the capacity of a service whose rate is not known. The bound is a
 * concurrency limit: queues in front of upstreams make the requests of all
 * organisations late, and idle slots serve none. The first capacity is that of
 * the slots, since gradual steps from the demand would let a queue of seconds
 * grow first. The capacity does not fall far below what is served: a queue from
 * before a step takes seconds to end, and steps that ignore this would limit
 * small organisations too.
 */
class ShareController {
 public:
  /** Time between two steps, in which the effect of a step shows. */
  static constexpr std::chrono::milliseconds kStep{200};

  /**
   * @param load the load. @param limited true if the plan in force limits any
   *     organisation. @param now current time.
   * @return the capacity in slot milliseconds per second; nullopt: all demand
   *     is admitted.
   */
  std::optional<double> Update(const FleetLoad& load, bool limited,
                               Clock::time_point now);

 private:
  std::optional<double> capacity_;
  std::optional<Clock::time_point> step_at_;
};

}  // namespace turmeric::fairness
