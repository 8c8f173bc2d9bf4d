#include "turmeric/entry/upstream_connections.h"

#include <algorithm>

#include "turmeric/connections/connection_shares.h"
#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/entry_metrics.h"
#include "turmeric/entry/permit_issuer.h"
#include "turmeric/entry/upstream_limiter.h"
#include "turmeric/entry/upstream_probe.h"
#include "turmeric/peer/frame.h"
#include "turmeric/peer/instance_identity.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using connections::AddressedOrder;
using connections::LendablePart;
using connections::LoanGrant;
using connections::LoanOrder;
using routing::Route;
using routing::Upstream;
using routing::UpstreamPtr;
using std::chrono::milliseconds;

namespace {

/** Interval at which loans are renewed and unused ones returned. */
constexpr milliseconds kMaintainInterval{1000};
/** Least number of connections that a loan is extended by. */
constexpr int kMinExtension = 2;
/** A loan is extended by one in kExtensionDivisor connections in use, and one
 * in kReserveDivisor of those needed is kept free. */
constexpr int kExtensionDivisor = 2;
constexpr int kReserveDivisor = 4;
/** Time from the start of a process to its first read of the fleet's list and
 * of the configuration, at most, for a lender that was one before. */
constexpr milliseconds kStartTime{5000};
/** Bounds the size of a placement order. */
constexpr size_t kMaxIds = 64;

}  // namespace

UpstreamConnections::UpstreamConnections(EntryContext& context, LoanLinks links)
    : context_(context),
      links_(std::move(links)),
      borrower_(context.settings.name) {
  timer_.setInterval(kMaintainInterval);
  connect(&timer_, &QTimer::timeout, this, [this] { Maintain(); });
}

int UpstreamConnections::OwnShareOf(const Upstream& upstream) const {
  const routing::ServiceSpec* spec =
      context_.FindService(upstream.entry.service);
  if (spec == nullptr) return 0;
  return connections::OwnShare(spec->max_connections,
                               context_.retries.largest_listed());
}

bool UpstreamConnections::HasLoanRelease(const std::string& name) const {
  // The process may be of another release than the one that wrote the entry.
  const auto it = statements_.find(name);
  if (it == statements_.end()) return listed_lenders_.contains(name);
  return it->second != peer::LoanStatement::kNone;
}

connections::Fleet UpstreamConnections::FleetOf(
    const std::string& service) const {
  const auto older = std::ranges::count_if(
      others_,
      [this](const std::string& name) { return !HasLoanRelease(name); });
  return {.instances = context_.retries.largest_listed(),
          .lenders =
              static_cast<int>(context_.limiter->issuers().Of(service).size()),
          .older = static_cast<int>(older)};
}

int UpstreamConnections::Limit(const Upstream& upstream) const {
  const int own = OwnShareOf(upstream);
  if (own == 0 || borrower_.empty()) return own;
  return own + borrower_.Borrowed(ProcessStartId(upstream.entry), Clock::now());
}

bool UpstreamConnections::HasFree(const Upstream& upstream) const {
  return context_.client.HasConnection(upstream, Limit(upstream));
}

std::vector<std::string> UpstreamConnections::WithoutFree(
    const std::string& service) const {
  std::vector<std::string> ids;
  const routing::ServiceSpec* spec = context_.FindService(service);
  if (spec == nullptr) return ids;
  const int own = connections::OwnShare(spec->max_connections,
                                        context_.retries.largest_listed());
  if (own == 0) return ids;
  for (const UpstreamPtr& u : context_.upstreams.ForService(service)) {
    if (ids.size() >= kMaxIds) break;
    if (u->connections >= own && !HasFree(*u)) ids.push_back(u->entry.id);
  }
  return ids;
}

void UpstreamConnections::OnSend(const Upstream& upstream) {
  if (use_.empty()) return;
  const auto it = use_.find(ProcessStartId(upstream.entry));
  if (it == use_.end()) return;
  it->second.peak = std::max(it->second.peak, upstream.in_flight);
  const int limit = Limit(upstream);
  if (upstream.connections + std::max(1, limit / kReserveDivisor) > limit &&
      !context_.client.HasIdle(upstream)) {
    Extend(upstream, kMinExtension, Clock::now());
  }
}

void UpstreamConnections::OnShortage(const Upstream& upstream,
                                     std::string_view request) {
  utils::DecisionLog("connection_shortage")
      .Add("request", request)
      .Add("service", upstream.entry.service)
      .Add("upstream", upstream.entry.id)
      .Add("open", upstream.connections)
      .Add("in_flight", upstream.in_flight)
      .Add("own", OwnShareOf(upstream))
      .Add("limit", Limit(upstream));
  context_.metrics->OnConnectionShortage(upstream.entry.service);
  Order(upstream);
}

void UpstreamConnections::Order(const Upstream& upstream) {
  Use& use = use_[ProcessStartId(upstream.entry)];
  use.peak = std::max(use.peak, upstream.in_flight + 1);
  Extend(upstream, kMinExtension, Clock::now());
}

void UpstreamConnections::Extend(const Upstream& upstream, int missing,
                                 Clock::time_point now) {
  const std::string incarnation = ProcessStartId(upstream.entry);
  std::vector<std::string> lenders;
  std::ranges::copy_if(context_.limiter->issuers().Of(upstream.entry.service),
                       std::back_inserter(lenders),
                       [this](const std::string& name) {
                         return name == context_.settings.name ||
                                (HasLoanRelease(name) && links_.reaches(name));
                       });
  const int more = std::max(missing, upstream.connections / kExtensionDivisor);
  const int wanted = borrower_.Borrowed(incarnation, now) + more;
  if (!timer_.isActive()) timer_.start();
  Send(borrower_.Extend(incarnation, wanted, lenders, now), now);
}

void UpstreamConnections::Send(const std::vector<AddressedOrder>& orders,
                               Clock::time_point now) {
  for (const AddressedOrder& o : orders) {
    if (o.lender == context_.settings.name) {
      OnGrant(o.lender, Decide(context_.settings.name, o.order, now), now);
      continue;
    }
    links_.send(o.lender, [&o](peer::Frame& frame) {
      frame.loan_orders.push_back(o.order);
    });
  }
}

void UpstreamConnections::OnInstances(const Instances& fleet,
                                      Clock::time_point now) {
  others_.clear();
  listed_lenders_.clear();
  for (const auto& [name, info] : fleet) {
    if (name == context_.settings.name) continue;
    others_.push_back(name);
    if (info.lends_connections) listed_lenders_.insert(name);
  }
  if (context_.table) {
    const auto& routes = context_.table->routes;
    const auto longest = std::ranges::max_element(routes, {}, &Route::timeout);
    if (longest != routes.end()) lender_.SetLongestRequest(longest->timeout);
  }
  lender_.Expire(now);
  UpdateLenderSince(now);
  SurveyLoans(now);
  TrimToLimits();
}

void UpstreamConnections::UpdateLenderSince(Clock::time_point now) {
  if (!context_.table) return;
  // The first lenders of a fleet that starts for the first time have no
  // predecessors.
  const bool is_first = context_.settings.first_start && !was_lender_;
  const routing::IssuerList& issuers = context_.limiter->issuers();
  const LenderSince since{.at = is_first ? now - lender_.expiry() : now,
                          .before_start = issuers.listed_before_start() &&
                                          now - started_ < kStartTime};
  for (const auto& [name, spec] : context_.table->services) {
    const bool lends = issuers.IsKnownByAll()
                           ? issuers.FutureRank(name).has_value()
                           : issuers.OwnRank(name, now).has_value();
    if (!lends) {
      lender_since_.erase(name);
      continue;
    }
    lender_since_.try_emplace(name, since);
    was_lender_ = true;
  }
  SettleWithoutLoans(now);
}

void UpstreamConnections::SettleWithoutLoans(Clock::time_point now) {
  const bool no_loans =
      std::ranges::all_of(others_, [this](const std::string& name) {
        const auto it = statements_.find(name);
        return it != statements_.end() &&
               it->second == peer::LoanStatement::kNoLoans;
      });
  if (!no_loans) return;
  for (auto& [service, since] : lender_since_) {
    if (since.before_start) since.at = now - lender_.expiry();
  }
}

bool UpstreamConnections::IsSettled(const LenderSince& since,
                                    Clock::time_point now) const {
  return now - since.at >= lender_.expiry();
}

void UpstreamConnections::SurveyLoans(Clock::time_point now) {
  // An instance that does not know this one may still order at the lender that
  // this one replaces.
  if (!context_.limiter->issuers().IsKnownByAll() || !survey_.MayBegin(now)) {
    return;
  }
  const bool waits = std::ranges::any_of(lender_since_, [&](const auto& entry) {
    return !IsSettled(entry.second, now);
  });
  if (!waits) return;
  const uint64_t number = survey_.Begin(others_, now);
  links_.broadcast(
      [number](peer::Frame& frame) { frame.loan_survey = number; });
}

void UpstreamConnections::AddStatement(peer::Frame& frame) const {
  frame.loans = borrower_.empty() ? peer::LoanStatement::kNoLoans
                                  : peer::LoanStatement::kHasLoans;
}

void UpstreamConnections::OnFirstFrame(const std::string& identity,
                                       const peer::Frame& frame) {
  lender_.OnProcessStart(identity);
  OnStatement(peer::InstanceName(identity), frame.loans);
  // This instance may have become known by all.
  const auto now = Clock::now();
  if (!lender_since_.empty() || !context_.limiter->issuers().IsKnownByAll()) {
    return;
  }
  UpdateLenderSince(now);
  SurveyLoans(now);
}

void UpstreamConnections::OnStatement(const std::string& name,
                                      peer::LoanStatement statement) {
  statements_[name] = statement;
  SettleWithoutLoans(Clock::now());
}

void UpstreamConnections::TrimToLimits() {
  if (!context_.table) return;
  for (const auto& [service, spec] : context_.table->services) {
    for (const UpstreamPtr& u : context_.upstreams.ForService(service)) {
      const int limit = Limit(*u);
      if (limit > 0) context_.client.TrimIdle(*u, limit);
    }
  }
}

LendablePart UpstreamConnections::PartOf(const std::string& incarnation,
                                         Clock::time_point now) {
  const UpstreamPtr upstream = FindIncarnation(context_.upstreams, incarnation);
  if (!upstream) return {};
  const std::string& service = upstream->entry.service;
  const routing::ServiceSpec* spec = context_.FindService(service);
  const auto rank = context_.limiter->issuers().OwnRank(service, now);
  if (spec == nullptr || !rank) return {.connections = 0, .may_extend = true};
  if (!lender_since_.contains(service)) UpdateLenderSince(now);
  const auto since = lender_since_.find(service);
  const bool settled =
      since != lender_since_.end() && IsSettled(since->second, now);
  if (!settled) SurveyLoans(now);
  return {.connections = connections::LenderPart(spec->max_connections,
                                                 FleetOf(service), *rank),
          .may_extend = settled};
}

LoanGrant UpstreamConnections::Decide(const std::string& identity,
                                      const LoanOrder& order,
                                      Clock::time_point now) {
  const LendablePart part = PartOf(order.upstream, now);
  const LoanGrant grant = lender_.Decide(identity, order, part, now);
  if (grant.held != order.held || grant.held != order.wanted) {
    utils::DecisionLog("connections_lent")
        .Add("upstream", order.upstream)
        .Add("borrower", identity)
        .Add("held", order.held)
        .Add("wanted", order.wanted)
        .Add("granted", grant.held)
        .Add("part", part.connections)
        .Add("may_extend", part.may_extend)
        .Add("lent", lender_.Lent(order.upstream, now));
  }
  return grant;
}

void UpstreamConnections::OnOrders(const std::string& identity,
                                   const peer::Frame& frame,
                                   peer::Frame* reply) {
  const auto now = Clock::now();
  if (frame.loan_survey != 0 && reply != nullptr) {
    const std::string asker = peer::InstanceName(identity);
    reply->loans = borrower_.MayHoldLoans(asker)
                       ? peer::LoanStatement::kHasLoans
                       : peer::LoanStatement::kNoLoans;
    reply->loan_survey_answered = frame.loan_survey;
  }
  for (const LoanOrder& order : frame.loan_orders) {
    const LoanGrant grant = Decide(identity, order, now);
    if (reply != nullptr) reply->loan_grants.push_back(grant);
  }
}

void UpstreamConnections::OnGrants(const std::string& name,
                                   const peer::Frame& frame) {
  if (frame.loans != peer::LoanStatement::kNone) OnStatement(name, frame.loans);
  const auto now = Clock::now();
  const bool no_loans =
      survey_.OnAnswer(frame.loan_survey_answered, name,
                       frame.loans != peer::LoanStatement::kNoLoans);
  if (no_loans && !borrower_.MayHoldLoans(context_.settings.name)) {
    for (auto& [service, since] : lender_since_) {
      if (since.at <= survey_.began_at()) since.at = now - lender_.expiry();
    }
  }
  for (const LoanGrant& grant : frame.loan_grants) OnGrant(name, grant, now);
}

void UpstreamConnections::OnGrant(const std::string& lender,
                                  const LoanGrant& grant,
                                  Clock::time_point now) {
  if (!borrower_.OnGrant(lender, grant, now)) return;
  const UpstreamPtr upstream =
      FindIncarnation(context_.upstreams, grant.upstream);
  if (!upstream) return;
  context_.metrics->OnLoan(upstream->entry.service, grant.held > 0);
  // A lender that has lent all is no reason to wait for the next shortage.
  if (!HasFree(*upstream)) Extend(*upstream, kMinExtension, now);
}

void UpstreamConnections::Maintain() {
  const auto now = Clock::now();
  for (const std::string& incarnation : borrower_.Upstreams()) {
    ReduceUnused(incarnation, now);
  }
  Send(borrower_.Renew(now), now);
  std::erase_if(use_, [this, now](const auto& entry) {
    return borrower_.Borrowed(entry.first, now) == 0;
  });
  if (borrower_.empty()) timer_.stop();
}

void UpstreamConnections::ReduceUnused(const std::string& incarnation,
                                       Clock::time_point now) {
  const UpstreamPtr upstream = FindIncarnation(context_.upstreams, incarnation);
  if (!upstream) return borrower_.Forget(incarnation);
  Use& use = use_[incarnation];
  const int needed = std::max(use.peak, upstream->in_flight);
  use.peak = upstream->in_flight;
  const int own = OwnShareOf(*upstream);
  const int kept_for_use = needed > own ? needed + needed / kReserveDivisor : 0;
  const int limit = Limit(*upstream);
  context_.client.TrimIdle(*upstream,
                           std::min(limit, std::max(own, kept_for_use)));
  const int kept =
      std::max(std::min(limit, kept_for_use), upstream->connections) - own;
  Send(borrower_.Reduce(incarnation, std::max(0, kept), now), now);
}

}  // namespace turmeric::entry
