#include "turmeric/entry/fair_shares.h"

#include <algorithm>
#include <utility>

#include "turmeric/entry/brittle_upstreams.h"
#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/entry_metrics.h"
#include "turmeric/fairness/retry_after_excess.h"
#include "turmeric/peer/frame.h"
#include "turmeric/peer/instance_identity.h"
#include "turmeric/utils/decision_log.h"
#include "turmeric/utils/random_id.h"

namespace turmeric::entry {

using config::Mechanism;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kLogInterval{1000};
/** Most organisations whose log lines are spaced one by one. */
constexpr size_t kMaxLogged = 64;
/** Organisations among which capacity is divided, at least. */
constexpr size_t kMinOrganisations = 2;

}  // namespace

bool SharesCapacity(const EntryContext& context, const std::string& service,
                    const routing::Route& route) {
  return context.Uses(Mechanism::kFairShares) && context.table &&
         context.table->organisation_count >= kMinOrganisations &&
         !route.carries_prompt && route.stages.empty() &&
         !context.brittle->Any(service);
}

FairShares::FairShares(EntryContext& context, ShareLinks links)
    : context_(context), links_(std::move(links)) {
  timer_.setInterval(fairness::ServiceShare::kReportInterval);
  connect(&timer_, &QTimer::timeout, this, [this] { Tick(); });
}

void FairShares::Start() {
  if (!timer_.isActive()) timer_.start();
}

fairness::CapacityPart FairShares::PartOf(const std::string& service) const {
  const auto now = Clock::now();
  fairness::CapacityPart part{
      .slots = 0,
      .instances = std::max(1, context_.retries.listed_instances())};
  for (const auto& upstream : context_.upstreams.ForService(service)) {
    if (IsListed(*upstream, now)) part.slots += upstream->entry.slots;
  }
  return part;
}

ShareAdmission FairShares::Admit(const std::string& service,
                                 std::string_view organisation,
                                 const std::string& route) {
  Start();
  const auto now = Clock::now();
  Service& state = services_[service];
  const double work = state.work[route].work();
  const auto refusal = state.share.OnRequest(organisation, work, now);
  if (!refusal) {
    return {.work = std::make_unique<SharedWork>(
                [this, service, route, work, now](bool answered) {
                  End(service, route, work, now, answered);
                }),
            .retry_after = {}};
  }
  context_.metrics->OnShareRefusal(service, organisation);
  LogRefusal(service, state, organisation, *refusal, now);
  return {.work = nullptr,
          .retry_after = fairness::RetryAfterExcess(
              refusal->demand, refusal->level, utils::RandomFraction())};
}

void FairShares::End(const std::string& name, const std::string& route,
                     double work, Clock::time_point began, bool answered) {
  const auto now = Clock::now();
  Service& service = services_.at(name);
  service.share.OnEnd(work, answered, now);
  if (answered) service.work[route].Note(now - began);
}

void FairShares::LogRefusal(const std::string& name, Service& service,
                            std::string_view organisation,
                            const fairness::ShareRefusal& refusal,
                            Clock::time_point now) {
  auto it = service.logged.find(organisation);
  if (it != service.logged.end() && now - it->second < kLogInterval) return;
  if (it == service.logged.end()) {
    std::erase_if(service.logged, [now](const auto& entry) {
      return now - entry.second >= kLogInterval;
    });
    if (service.logged.size() >= kMaxLogged) return;
    it = service.logged.try_emplace(std::string(organisation)).first;
  }
  it->second = now;
  utils::DecisionLog("share_exceeded")
      .Add("service", name)
      .Add("organisation", organisation)
      .Add("demand", refusal.demand)
      .Add("level", refusal.level)
      .Add("fraction", refusal.fraction)
      .Add("plan_age_ms", refusal.plan_age.count());
}

void FairShares::Tick() {
  const auto now = Clock::now();
  for (auto& [name, service] : services_) {
    const fairness::CapacityPart part = PartOf(name);
    service.share.Update(part, now);
    if (service.share.IsUnderPressure(part, now)) {
      Report(name, service, part, now);
    }
  }
  std::erase_if(services_, [this, now](auto& entry) {
    auto& [name, service] = entry;
    if (!service.share.IsIdle(now)) return false;
    if (service.limited) context_.metrics->SetShareDemands(name, {});
    return true;
  });
  std::erase_if(coordinated_,
                [now](const auto& entry) { return entry.second.IsIdle(now); });
  if (services_.empty() && coordinated_.empty()) timer_.stop();
}

void FairShares::Report(const std::string& name, Service& service,
                        const fairness::CapacityPart& part,
                        Clock::time_point now) {
  fairness::DemandReport report =
      service.share.MakeReport(name, part.slots, now);
  if (const auto owner = links_.owner_of("shares/" + name)) {
    return links_.send(*owner, [&report](peer::Frame& frame) {
      frame.demand_reports.push_back(std::move(report));
    });
  }
  const auto* plan = Coordinate(context_.settings.name, report, now);
  if (plan != nullptr) Apply(name, service, *plan, now);
}

const fairness::SharePlan* FairShares::Coordinate(
    const std::string& instance, const fairness::DemandReport& report,
    Clock::time_point now) {
  Start();
  fairness::ShareCoordinator& coordinator = coordinated_[report.service];
  coordinator.OnReport(instance, report, now);
  return coordinator.Plan(now);
}

void FairShares::OnReports(const std::string& identity,
                           const peer::Frame& frame, peer::Frame* reply) {
  const auto now = Clock::now();
  const std::string name = peer::InstanceName(identity);
  for (const fairness::DemandReport& report : frame.demand_reports) {
    // A service that is not configured has no capacity to divide.
    if (context_.FindService(report.service) == nullptr) continue;
    const auto* plan = Coordinate(name, report, now);
    if (plan == nullptr || reply == nullptr) continue;
    reply->share_plans.push_back({.service = report.service, .plan = *plan});
  }
}

void FairShares::OnPlans(const std::string& name, const peer::Frame& frame) {
  for (const peer::SharePlanNotice& notice : frame.share_plans) {
    const auto it = services_.find(notice.service);
    if (it == services_.end()) continue;
    // An earlier coordinator may answer after another one has taken over.
    if (links_.owner_of("shares/" + notice.service) != name) continue;
    Apply(it->first, it->second, notice.plan, Clock::now());
  }
}

void FairShares::Apply(const std::string& name, Service& service,
                       const fairness::SharePlan& plan, Clock::time_point now) {
  if (service.limited || !plan.limited.empty()) {
    context_.metrics->SetShareDemands(name, plan.limited);
  }
  service.limited = !plan.limited.empty();
  service.share.OnPlan(plan, now);
}

}  // namespace turmeric::entry
