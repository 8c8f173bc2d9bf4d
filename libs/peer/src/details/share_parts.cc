#include "details/share_parts.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace turmeric::peer {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

namespace {

std::string Text(const flatbuffers::String* s) { return s ? s->str() : ""; }

Offset<wire::DemandReport> Write(FlatBufferBuilder& b,
                                 const fairness::DemandReport& report) {
  std::vector<Offset<wire::OrganisationDemand>> demands;
  std::ranges::transform(
      report.demands, std::back_inserter(demands), [&b](const auto& d) {
        return wire::CreateOrganisationDemand(b, b.CreateString(d.organisation),
                                              d.demand, d.organisations);
      });
  return wire::CreateDemandReport(b, b.CreateString(report.service),
                                  report.in_progress, report.slots,
                                  report.served, b.CreateVector(demands));
}

Offset<wire::SharePlanNotice> Write(FlatBufferBuilder& b,
                                    const SharePlanNotice& notice) {
  std::vector<Offset<wire::LimitedOrganisation>> limited;
  std::ranges::transform(
      notice.plan.limited, std::back_inserter(limited), [&b](const auto& l) {
        return wire::CreateLimitedOrganisation(
            b, b.CreateString(l.organisation), l.fraction, l.demand);
      });
  return wire::CreateSharePlanNotice(b, b.CreateString(notice.service),
                                     notice.plan.level,
                                     b.CreateVector(limited));
}

fairness::DemandReport Read(const wire::DemandReport& r) {
  fairness::DemandReport report{.service = Text(r.service()),
                                .in_progress = r.in_progress(),
                                .slots = r.slots(),
                                .served = r.served(),
                                .demands = {}};
  if (r.demands() == nullptr) return report;
  std::ranges::transform(*r.demands(), std::back_inserter(report.demands),
                         [](const auto* d) {
                           return fairness::OrganisationDemand{
                               .organisation = Text(d->organisation()),
                               .demand = d->demand(),
                               .organisations = d->organisations()};
                         });
  return report;
}

SharePlanNotice Read(const wire::SharePlanNotice& n) {
  SharePlanNotice notice{.service = Text(n.service()),
                         .plan = {.level = n.level(), .limited = {}}};
  if (n.limited() == nullptr) return notice;
  std::ranges::transform(*n.limited(), std::back_inserter(notice.plan.limited),
                         [](const auto* l) {
                           return fairness::LimitedOrganisation{
                               .organisation = Text(l->organisation()),
                               .fraction = l->fraction(),
                               .demand = l->demand()};
                         });
  return notice;
}

}  // namespace

ShareParts WriteShareParts(FlatBufferBuilder& b, const Frame& frame) {
  ShareParts parts;
  std::vector<Offset<wire::DemandReport>> reports;
  for (const auto& r : frame.demand_reports) reports.push_back(Write(b, r));
  if (!reports.empty()) parts.reports = b.CreateVector(reports);
  std::vector<Offset<wire::SharePlanNotice>> plans;
  for (const auto& n : frame.share_plans) plans.push_back(Write(b, n));
  if (!plans.empty()) parts.plans = b.CreateVector(plans);
  return parts;
}

void ReadShareParts(const wire::Frame& f, Frame& frame) {
  if (f.demand_reports() != nullptr) {
    for (const auto* r : *f.demand_reports()) {
      frame.demand_reports.push_back(Read(*r));
    }
  }
  if (f.share_plans() != nullptr) {
    for (const auto* n : *f.share_plans()) {
      frame.share_plans.push_back(Read(*n));
    }
  }
}

}  // namespace turmeric::peer
