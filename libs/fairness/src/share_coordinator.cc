#include "turmeric/fairness/share_coordinator.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace turmeric::fairness {

namespace {

/** Interval between two plans. Each report is answered with the latest one, as
 * the division costs more than an answer. */
constexpr std::chrono::milliseconds kPlanInterval{100};
constexpr int kMaxCount = 1'000'000;
constexpr double kMaxRate = 1e12;
constexpr int kMaxAddedUp = 65'536;

double SoundRate(double rate) {
  return std::isfinite(rate) ? std::clamp(rate, 0.0, kMaxRate) : 0;
}

DemandReport Sound(DemandReport report) {
  report.in_progress = std::clamp(report.in_progress, 0, kMaxCount);
  report.slots = std::clamp(report.slots, 0, kMaxCount);
  report.served = SoundRate(report.served);
  if (report.demands.size() > kMaxReported + 1) {
    report.demands.resize(kMaxReported + 1);
  }
  for (OrganisationDemand& demand : report.demands) {
    demand.demand = SoundRate(demand.demand);
    const int most =
        demand.organisation == kOtherOrganisations ? kMaxAddedUp : 1;
    demand.organisations = std::clamp(demand.organisations, 1, most);
  }
  return report;
}

}  // namespace

void ShareCoordinator::OnReport(const std::string& instance,
                                DemandReport report, Clock::time_point now) {
  if (IsIdle(now)) {
    *this = {};
    first_report_at_ = now;
  }
  if (!reports_.contains(instance) && reports_.size() >= kMaxInstances) return;
  reports_[instance] = {.report = Sound(std::move(report)), .at = now};
}

bool ShareCoordinator::IsIdle(Clock::time_point now) const {
  return std::ranges::none_of(reports_, [now](const auto& entry) {
    return now - entry.second.at <= kReportValidity;
  });
}

std::vector<OrganisationDemand> ShareCoordinator::SumDemands() const {
  std::vector<OrganisationDemand> sums;
  std::unordered_map<std::string_view, size_t> index;
  for (const auto& [instance, entry] : reports_) {
    for (const OrganisationDemand& demand : entry.report.demands) {
      const auto [it, added] =
          index.try_emplace(demand.organisation, sums.size());
      if (added) {
        sums.push_back(demand);
        continue;
      }
      OrganisationDemand& sum = sums[it->second];
      sum.demand += demand.demand;
      sum.organisations = std::max(sum.organisations, demand.organisations);
    }
  }
  return sums;
}

FleetLoad ShareCoordinator::SumLoad() const {
  FleetLoad load;
  for (const auto& [instance, entry] : reports_) {
    const DemandReport& report = entry.report;
    load.in_progress += report.in_progress;
    load.slots = std::max<double>(load.slots, report.slots);
    load.served += report.served;
    for (const auto& demand : report.demands) load.demand += demand.demand;
  }
  return load;
}

const SharePlan* ShareCoordinator::Plan(Clock::time_point now) {
  if (!first_report_at_ || now - *first_report_at_ < kCollection) {
    return nullptr;
  }
  if (planned_at_ && now - *planned_at_ < kPlanInterval) return &plan_;
  planned_at_ = now;
  std::erase_if(reports_, [now](const auto& entry) {
    return now - entry.second.at > kReportValidity;
  });
  const auto capacity =
      controller_.Update(SumLoad(), !plan_.limited.empty(), now);
  plan_ = capacity ? MakeSharePlan(*capacity, SumDemands()) : SharePlan{};
  return &plan_;
}

}  // namespace turmeric::fairness
