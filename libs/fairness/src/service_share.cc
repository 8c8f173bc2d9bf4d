#include "turmeric/fairness/service_share.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace turmeric::fairness {

namespace {

constexpr double kMsPerSecond = 1000;
/** Key of the work of all organisations in the meter of served work. */
constexpr std::string_view kAll;

}  // namespace

std::string_view ServiceShare::NameInPlan(std::string_view organisation) const {
  const bool added_up = !reported_.empty() && !gate_.Names(organisation) &&
                        !std::ranges::binary_search(reported_, organisation);
  return added_up ? kOtherOrganisations : organisation;
}

std::optional<ShareRefusal> ServiceShare::OnRequest(
    std::string_view organisation, double work, Clock::time_point now) {
  demand_.Add(organisation, work, now);
  auto refusal = gate_.Admit(NameInPlan(organisation), now);
  if (!refusal) ++in_progress_;
  return refusal;
}

void ServiceShare::OnEnd(double work, bool answered, Clock::time_point now) {
  --in_progress_;
  // Work that ends without an answer shows no capacity of the upstreams.
  if (answered) served_.Add(kAll, work, now);
}

void ServiceShare::OnPlan(SharePlan plan, Clock::time_point now) {
  was_limited_ = !plan.limited.empty();
  plan_at_ = now;
  gate_.SetPlan(std::move(plan), now);
}

bool ServiceShare::IsUnderPressure(const CapacityPart& part,
                                   Clock::time_point now) const {
  // A single request is no pressure, even if the fleet has more instances than
  // the service has slots.
  return in_progress_ > std::max(1.0, part.slots_each()) || gate_.Limits(now);
}

void ServiceShare::Update(const CapacityPart& part, Clock::time_point now) {
  const bool plan_valid =
      plan_at_ && now - *plan_at_ <= AdmissionGate::kPlanValidity;
  if (plan_valid || !was_limited_) return;
  SharePlan plan = MakeSharePlan(part.slots_each() * kMsPerSecond,
                                 demand_.Largest(kMaxReported, now));
  was_limited_ = !plan.limited.empty();
  gate_.SetPlan(std::move(plan), now);
}

DemandReport ServiceShare::MakeReport(std::string service, int slots,
                                      Clock::time_point now) {
  DemandReport report{.service = std::move(service),
                      .in_progress = in_progress_,
                      .slots = slots,
                      .served = served_.Rate(kAll, now),
                      .demands = demand_.Largest(kMaxReported, now)};
  reported_.clear();
  if (report.demands.size() > kMaxReported) {
    std::ranges::transform(report.demands, std::back_inserter(reported_),
                           &OrganisationDemand::organisation);
    std::ranges::sort(reported_);
  }
  return report;
}

bool ServiceShare::IsIdle(Clock::time_point now) const {
  return in_progress_ == 0 && !gate_.HasPlan(now) && demand_.IsIdle(now);
}

}  // namespace turmeric::fairness
