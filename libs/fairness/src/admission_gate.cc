#include "turmeric/fairness/admission_gate.h"

#include <cmath>
#include <utility>

namespace turmeric::fairness {

namespace {

/** Admits each third request at a fraction of a third in spite of rounding. */
constexpr double kWholeCredit = 1 - 1e-9;

/** @return true for a limit that an instance may apply; a plan of another
 * instance may state any figures. */
bool IsSound(const LimitedOrganisation& limit) {
  return std::isfinite(limit.fraction) && limit.fraction >= 0 &&
         limit.fraction < 1 && std::isfinite(limit.demand);
}

}  // namespace

void AdmissionGate::SetPlan(SharePlan plan, Clock::time_point now) {
  std::map<std::string, Limit, std::less<>> limited;
  for (LimitedOrganisation& limit : plan.limited) {
    if (!IsSound(limit)) continue;
    const auto earlier = limited_.find(limit.organisation);
    // The first request after a limit begins is admitted. Otherwise an
    // organisation close to the level would lose one request at each instance
    // whenever its demand varies around the level.
    const double credit =
        earlier == limited_.end() ? 1 - limit.fraction : earlier->second.credit;
    limited.try_emplace(std::move(limit.organisation),
                        Limit{.fraction = limit.fraction,
                              .demand = limit.demand,
                              .credit = credit});
  }
  limited_ = std::move(limited);
  level_ = plan.level;
  plan_at_ = now;
}

bool AdmissionGate::HasPlan(Clock::time_point now) const {
  return plan_at_ && now - *plan_at_ <= kPlanValidity;
}

bool AdmissionGate::Limits(Clock::time_point now) const {
  return HasPlan(now) && !limited_.empty();
}

std::optional<ShareRefusal> AdmissionGate::Admit(std::string_view organisation,
                                                 Clock::time_point now) {
  if (!HasPlan(now)) return std::nullopt;
  const auto it = limited_.find(organisation);
  if (it == limited_.end()) return std::nullopt;
  Limit& limit = it->second;
  limit.credit += limit.fraction;
  if (limit.credit >= kWholeCredit) {
    limit.credit -= 1;
    return std::nullopt;
  }
  return ShareRefusal{
      .demand = limit.demand,
      .level = level_,
      .fraction = limit.fraction,
      .plan_age = std::chrono::duration_cast<std::chrono::milliseconds>(
          now - *plan_at_)};
}

}  // namespace turmeric::fairness
