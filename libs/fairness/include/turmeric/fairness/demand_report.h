#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::fairness {

/** The clock of all decisions on shares. */
using Clock = std::chrono::steady_clock;

/** Name under which the organisations beyond a bound are added up. */
inline constexpr std::string_view kOtherOrganisations = "(others)";
/** Most organisations that a report states one by one. */
inline constexpr size_t kMaxReported = 256;

/** Work per second that an organisation demands at a service. */
struct OrganisationDemand {
  std::string organisation;  ///< Empty: requests without an organisation.
  double demand = 0;         ///< Slot milliseconds per second.
  /** Organisations that are added up; more than one for kOtherOrganisations
   * only. */
  int organisations = 1;
};

/** The demand at one instance for one service. */
struct DemandReport {
  std::string service;
  int in_progress = 0;  ///< Requests in flight or waiting at the instance.
  int slots = 0;        ///< Of the usable upstreams that the instance sees.
  double served = 0;    ///< Work of answered requests, slot ms per second.
  std::vector<OrganisationDemand> demands;
};

}  // namespace turmeric::fairness
