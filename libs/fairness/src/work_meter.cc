#include "turmeric/fairness/work_meter.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace turmeric::fairness {

namespace {

constexpr std::chrono::duration<double> kTimeConstant{1.0};
/** After five time constants, less than a hundredth of a rate is left. */
constexpr std::chrono::seconds kNegligibleAfter{5};
/** Least age over which a rate is taken: one or two requests are no rate. */
constexpr std::chrono::duration<double> kLeastAge{0.2};

double Decayed(double per_s, Clock::duration age) {
  const std::chrono::duration<double> seconds = age;
  return per_s * std::exp(-std::max(0.0, seconds / kTimeConstant));
}

}  // namespace

void WorkMeter::Add(std::string_view organisation, double work,
                    Clock::time_point now) {
  if (entries_.empty() || now - last_ > kNegligibleAfter) {
    entries_.clear();
    began_ = now;
  }
  last_ = now;
  auto it = entries_.find(organisation);
  if (it == entries_.end()) {
    const auto key = entries_.size() < kMaxOrganisations ? organisation
                                                         : kOtherOrganisations;
    it = entries_.try_emplace(std::string(key)).first;
  }
  Entry& entry = it->second;
  entry.per_s =
      Decayed(entry.per_s, now - entry.at) + work / kTimeConstant.count();
  entry.at = now;
}

double WorkMeter::Rate(std::string_view organisation,
                       Clock::time_point now) const {
  const auto it = entries_.find(organisation);
  if (it == entries_.end()) return 0;
  return CorrectionForAge(now) * Decayed(it->second.per_s, now - it->second.at);
}

double WorkMeter::CorrectionForAge(Clock::time_point now) const {
  const std::chrono::duration<double> age = now - began_;
  return 1 / (1 - std::exp(-(std::max(age, kLeastAge) / kTimeConstant)));
}

bool WorkMeter::IsIdle(Clock::time_point now) const {
  return std::ranges::all_of(entries_, [now](const auto& entry) {
    return now - entry.second.at > kNegligibleAfter;
  });
}

std::vector<OrganisationDemand> WorkMeter::Largest(size_t count,
                                                   Clock::time_point now) {
  std::erase_if(entries_, [now](const auto& entry) {
    return now - entry.second.at > kNegligibleAfter;
  });
  const double correction = CorrectionForAge(now);
  std::vector<OrganisationDemand> demands;
  demands.reserve(entries_.size());
  OrganisationDemand others{.organisation = std::string(kOtherOrganisations),
                            .demand = 0,
                            .organisations = 0};
  for (const auto& [name, entry] : entries_) {
    const double demand = correction * Decayed(entry.per_s, now - entry.at);
    if (name == kOtherOrganisations) {
      others.demand += demand;
      ++others.organisations;
    } else {
      demands.push_back({.organisation = name, .demand = demand});
    }
  }
  std::ranges::sort(demands, std::greater<>{}, &OrganisationDemand::demand);
  for (size_t i = count; i < demands.size(); ++i) {
    others.demand += demands[i].demand;
    ++others.organisations;
  }
  demands.resize(std::min(count, demands.size()));
  if (others.organisations > 0) demands.push_back(std::move(others));
  return demands;
}

}  // namespace turmeric::fairness
