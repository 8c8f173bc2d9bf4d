#pragma once

#include <limits>
#include <span>
#include <string>
#include <vector>

#include "turmeric/fairness/demand_report.h"

namespace turmeric::fairness {

/** An organisation that demands more than the level of a plan. */
struct LimitedOrganisation {
  std::string organisation;
  double fraction = 1;  ///< Of its requests that is admitted.
  double demand = 0;    ///< Slot milliseconds per second, of the whole fleet.
};

/** How the capacity of one service is divided between organisations. Those that
 * it does not name are admitted in full. */
struct SharePlan {
  /** Largest admitted demand of an organisation, slot ms per second. */
  double level = std::numeric_limits<double>::infinity();
  std::vector<LimitedOrganisation> limited;
};

/**
 * @param capacity of the service, slot ms per second.
 * @param demands of the active organisations.
 * @return the division by max-min fairness.
 */
SharePlan MakeSharePlan(double capacity,
                        std::span<const OrganisationDemand> demands);

}  // namespace turmeric::fairness
