#include "turmeric/fairness/share_plan.h"

#include <algorithm>

#include "turmeric/fairness/max_min_level.h"

namespace turmeric::fairness {

namespace {

/** @return the mean demand of the organisations that are added up. */
double DemandOfEach(const OrganisationDemand& demand) {
  return demand.demand / std::max(1, demand.organisations);
}

}  // namespace

SharePlan MakeSharePlan(double capacity,
                        std::span<const OrganisationDemand> demands) {
  std::vector<double> each;
  each.reserve(demands.size());
  for (const OrganisationDemand& demand : demands) {
    each.insert(each.end(),
                static_cast<size_t>(std::max(1, demand.organisations)),
                DemandOfEach(demand));
  }
  SharePlan plan{.level = MaxMinLevel(capacity, each), .limited = {}};
  for (const OrganisationDemand& demand : demands) {
    const double own = DemandOfEach(demand);
    if (own <= plan.level) continue;
    plan.limited.push_back({.organisation = demand.organisation,
                            .fraction = plan.level / own,
                            .demand = own});
  }
  return plan;
}

}  // namespace turmeric::fairness
